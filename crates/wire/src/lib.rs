//! The `wire` crate of limpetplank.
