//! The `member` crate of limpetplank.
