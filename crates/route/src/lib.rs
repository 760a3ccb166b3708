//! The `route` crate of limpetplank.
