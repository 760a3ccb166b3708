//! The `limpetd` program.

fn main() {}
