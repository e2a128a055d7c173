//! End-to-end run of the quickstart binary.

use std::process::Command;

/// Guards against a main scenario that fails when all components run together.
#[test]
fn main_scenario_passes() {
    let output = Command::new(env!("CARGO_BIN_EXE_knapweedgap-quickstart")).output();
    let output = output.expect("the quickstart binary should start");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}\n{text}");
    assert!(text.contains("all checks passed"), "{text}");
    assert!(errors.is_empty(), "{errors}");
}
