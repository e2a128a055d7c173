//! Guards against log lines that do not tell which build wrote them.

use knapweedgap_scheduler::output::REVISION;

#[test]
fn the_build_names_something_else_than_a_revision() {
    let is_revision = REVISION.len() == 12 && REVISION.bytes().all(|byte| byte.is_ascii_hexdigit());
    assert!(is_revision || REVISION == "unknown", "{REVISION}");
}
