//! The `standin` crate of limpetplank.
