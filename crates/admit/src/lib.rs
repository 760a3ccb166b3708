//! The `admit` crate of limpetplank.
