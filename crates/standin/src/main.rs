//! The `verbenahitch-standin` command.

fn main() {}
