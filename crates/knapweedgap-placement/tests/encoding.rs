//! Guards against a renamed field or variant that changes the stored log or checkpoint. A daemon
//! must still read what an earlier version wrote.

use knapweedgap_placement::log::{Checkpoint, Entry};

const ENTRY: &str = concat!(
    r#"{"version":1,"sequence":7,"epoch":2,"records":["#,
    r#"{"job_submitted":{"job":"00000000000000aa","body":17,"spec":{"team":"plans","key":"a","#,
    r#""class":"grind","priority":"low","tasks":4,"#,
    r#""size":{"processor":4000,"memory":1024,"accelerator":0},"#,
    r#""run_time":{"secs":60,"nanos":0},"retry_limit":1,"#,
    r#""constraint":{"zones":["z1"],"racks":["r1"],"spread":true},"payload":"plan"}}},"#,
    r#"{"job_delegated":{"job":"00000000000000bb","body":18,"to":3}},"#,
    r#"{"job_cancelled":{"jobs":["00000000000000aa"]}},"#,
    r#"{"task_placed":{"task":"00000000000000aa.0","attempt":1,"#,
    r#""site":{"worker":"w0","incarnation":5}}},"#,
    r#"{"task_started":{"task":"00000000000000aa.0","attempt":1}},"#,
    r#"{"task_stopping":{"task":"00000000000000aa.0","attempt":1,"why":"cancelled"}},"#,
    r#"{"task_stopping":{"task":"00000000000000aa.0","attempt":1,"why":"urgent"}},"#,
    r#"{"task_stopping":{"task":"00000000000000aa.0","attempt":1,"why":"interference"}},"#,
    r#"{"task_stopping":{"task":"00000000000000aa.0","attempt":1,"why":"room"}},"#,
    r#"{"attempt_ended":{"task":"00000000000000aa.0","attempt":1,"cause":"evicted","#,
    r#""checkpoint":"c1"}},"#,
    r#"{"attempt_ended":{"task":"00000000000000aa.0","attempt":1,"cause":{"failed":7},"#,
    r#""checkpoint":null}},"#,
    r#"{"attempt_ended":{"task":"00000000000000aa.0","attempt":1,"cause":"memory","#,
    r#""checkpoint":null}},"#,
    r#"{"attempt_ended":{"task":"00000000000000aa.0","attempt":1,"cause":"stopped","#,
    r#""checkpoint":null}},"#,
    r#"{"attempt_ended":{"task":"00000000000000aa.0","attempt":1,"cause":"restarted","#,
    r#""checkpoint":null}},"#,
    r#"{"attempt_ended":{"task":"00000000000000aa.0","attempt":1,"cause":"lost","#,
    r#""checkpoint":null}},"#,
    r#"{"resumed":{"task":"00000000000000aa.0","attempt":2}},"#,
    r#"{"task_finished":{"task":"00000000000000aa.0","attempt":2,"outcome":"succeeded"}},"#,
    r#"{"task_finished":{"task":"00000000000000aa.1","attempt":2,"#,
    r#""outcome":{"failed":{"reason":"exit code 7"}}}},"#,
    r#"{"task_finished":{"task":"00000000000000aa.2","attempt":2,"outcome":"cancelled"}},"#,
    r#"{"worker_quarantined":{"worker":"w0"}},"#,
    r#"{"jobs_forgotten":{"jobs":["00000000000000aa"]}}]}"#,
);

const CHECKPOINT: &str = concat!(
    r#"{"version":1,"sequence":7,"state":{"#,
    r#""jobs":{"00000000000000aa":{"spec":{"team":"plans","key":"a","#,
    r#""class":"grind","priority":"urgent","tasks":9,"#,
    r#""size":{"processor":4000,"memory":1024,"accelerator":0},"#,
    r#""run_time":{"secs":60,"nanos":0},"retry_limit":1,"#,
    r#""constraint":{"zones":[],"racks":[],"spread":false},"payload":"plan"},"#,
    r#""body":17,"order":0,"cancelled":false,"fresh":5,"tasks":{"#,
    r#""0":{"pending":{"history":{"attempt":2,"failures":1,"memory_faults":1,"resumed":1,"#,
    r#""checkpoint":"c1","failed_on":["w1"]},"state":null}},"#,
    r#""1":{"placed":{"history":{"attempt":1,"failures":0,"memory_faults":0,"resumed":0,"#,
    r#""checkpoint":null,"failed_on":[]},"state":{"worker":"w0","incarnation":5}}},"#,
    r#""2":{"running":{"history":{"attempt":1,"failures":0,"memory_faults":0,"resumed":0,"#,
    r#""checkpoint":null,"failed_on":[]},"state":{"worker":"w0","incarnation":5}}},"#,
    r#""3":{"stopping":{"history":{"attempt":1,"failures":0,"memory_faults":0,"resumed":0,"#,
    r#""checkpoint":null,"failed_on":[]},"state":[{"worker":"w0","incarnation":5},"room"]}}},"#,
    r#""returned":[0],"tally":{"succeeded":1,"failed":0,"cancelled":0},"reason":"exit code 7","#,
    r#""completions":{"4":2}}},"#,
    r#""closed":{"00000000000000cc":{"body":19,"team":"plans","order":0,"end":"failed","#,
    r#""tally":{"succeeded":0,"failed":1,"cancelled":0},"reason":"exit code 7","#,
    r#""completions":{"0":null}}},"#,
    r#""delegated":{"00000000000000bb":{"body":18,"to":3,"order":0}},"delegations":1,"#,
    r#""health":{"w1":{"streak":["00000000000000aa.0"],"level":1}},"#,
    r#""submitted":2,"ended":1}}"#,
);

#[test]
fn stored_entry_keeps_its_encoding() {
    let entry: Entry = serde_json::from_str(ENTRY).expect("an entry of an earlier version");
    assert_eq!(serde_json::to_string(&entry).expect("encodes"), ENTRY);
}

#[test]
fn stored_checkpoint_keeps_its_encoding() {
    let stored: Checkpoint = serde_json::from_str(CHECKPOINT).expect("an earlier checkpoint");
    assert_eq!(serde_json::to_string(&stored).expect("encodes"), CHECKPOINT);
}
