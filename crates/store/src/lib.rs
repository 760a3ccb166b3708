//! The `store` crate of limpetplank.
