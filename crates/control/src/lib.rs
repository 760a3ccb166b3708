//! The `control` crate of limpetplank.
