//! The `agent` crate of limpetplank.
