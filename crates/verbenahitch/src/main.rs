//! The `verbenahitch` command.

fn main() {}
