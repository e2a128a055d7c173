//! The program as its users start it.

use std::process::Command;

/// Guards against a main job that no longer holds when all components run together.
#[test]
fn the_main_job_holds() {
    let output = Command::new(env!("CARGO_BIN_EXE_knapweedgap-quickstart")).output();
    let output = output.expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}\n{text}");
    assert!(text.contains("everything held"), "{text}");
    assert!(errors.is_empty(), "{errors}");
}
