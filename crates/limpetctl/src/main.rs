//! The `limpetctl` program.

fn main() {}
