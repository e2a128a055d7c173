//! The settings tree: inheritance, checks and history.
