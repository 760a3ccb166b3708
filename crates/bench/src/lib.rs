//! The `bench` crate of limpetplank.
