//! The `consensus` crate of limpetplank.
