//! Guards against settings files that are accepted despite faults, or rejected without the place of
//! each fault.

use knapweedgap_daemon::config::Process;
use serde_json::{Value, json};

fn valid_file() -> Value {
    json!({
        "instance": "entry-1",
        "zone": "zone-1",
        "client": "127.0.0.1:8000",
        "operator": "127.0.0.1:7600",
        "peer": "127.0.0.1:7700",
        "store": ["127.0.0.1:2379"],
        "inventory": "127.0.0.1:2400",
    })
}

fn findings(file: &Value) -> String {
    Process::parse(&file.to_string()).expect_err("the file has faults").to_string()
}

#[test]
fn file_with_only_required_fields_is_accepted() {
    let process = Process::parse(&valid_file().to_string()).expect("valid");
    assert_eq!(process.instance.as_str(), "entry-1");
    assert_eq!(process.traffic_threads, 2);
}

#[test]
fn example_file_is_valid() {
    let text = include_str!("../../../examples/entry-1.json");
    Process::parse(text).expect("valid");
}

#[test]
fn all_findings_are_reported_together_with_their_places() {
    let mut file = valid_file();
    file["zone"] = json!("zone 1");
    file["client"] = json!("localhost:8000");
    file["store"] = json!(["127.0.0.1:2379", 5]);
    file["traffic_threads"] = json!(0);
    file["trafic_threads"] = json!(2);
    file.as_object_mut().expect("object").remove("peer");
    let text = findings(&file);
    for place in
        ["$.zone", "$.client", "$.store[1]", "$.traffic_threads", "$.trafic_threads", "$.peer"]
    {
        assert!(text.contains(place), "{place} is missing in {text}");
    }
}

#[test]
fn syntax_error_reports_line_and_column() {
    let error = Process::parse("{\"instance\": }").expect_err("invalid JSON");
    assert!(error.to_string().contains("line 1"), "{error}");
}

proptest::proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in proptest::prelude::any::<String>()) {
        let _ = Process::parse(&text);
    }
}
