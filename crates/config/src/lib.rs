//! The `config` crate of limpetplank.
