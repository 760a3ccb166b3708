//! The `balancer` crate of limpetplank.
