//! Guards against load reports that are parsed wrongly.

use knapweedgap_core::size;
use knapweedgap_upstream::load::{Error, Load};
use proptest::prelude::*;

#[test]
fn other_metrics_do_not_hide_the_slots_in_use() {
    let load: Result<Load, _> =
        "TEXT cpu_utilization=0.3, named_metrics.slots_in_use=3.0,mem_utilization=0.8".parse();
    assert_eq!(load, Ok(Load { slots_in_use: size::Slot::new(3) }));
}

#[test]
fn an_invalid_report_is_not_read_as_an_idle_upstream() {
    let cases = [
        ("JSON {}", Error::Format),
        ("TEXT cpu=1", Error::Missing),
        ("TEXT named_metrics.slots_in_use=-1", Error::Number),
        ("TEXT named_metrics.slots_in_use=", Error::Number),
        ("TEXT named_metrics.slots_in_use=1.5", Error::Number),
        ("TEXT named_metrics.slots_in_use=1,named_metrics.slots_in_use=2", Error::Number),
    ];
    for (text, error) in cases {
        assert_eq!(text.parse::<Load>(), Err(error), "{text}");
    }
}

proptest! {
    #[test]
    fn encoding_and_parsing_preserve_a_report(slots in any::<u32>()) {
        let load = Load { slots_in_use: size::Slot::new(slots) };
        prop_assert_eq!(load.to_string().parse::<Load>(), Ok(load));
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in any::<String>()) {
        let _ = text.parse::<Load>();
        let _ = format!("TEXT named_metrics.slots_in_use={text}").parse::<Load>();
    }
}
