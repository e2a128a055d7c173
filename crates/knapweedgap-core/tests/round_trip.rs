//! Guards against newtypes whose text form does not parse back to the same value.

use knapweedgap_core::{id, rate, revision, size};
use proptest::prelude::*;

fn check_round_trip<Value>(value: Value) -> Result<(), TestCaseError>
where
    Value: std::fmt::Display + std::str::FromStr + PartialEq + std::fmt::Debug,
    Value::Err: std::fmt::Debug,
{
    let text = value.to_string();
    let parsed =
        text.parse::<Value>().map_err(|error| TestCaseError::fail(format!("{error:?}")))?;
    prop_assert_eq!(parsed, value);
    Ok(())
}

proptest! {
    #[test]
    fn names_round_trip(text in "[A-Za-z0-9._:-]{1,128}") {
        check_round_trip(text.parse::<id::Instance>().expect("valid"))?;
        check_round_trip(text.parse::<id::Worker>().expect("valid"))?;
        check_round_trip(text.parse::<id::Upstream>().expect("valid"))?;
        check_round_trip(text.parse::<id::Vm>().expect("valid"))?;
        check_round_trip(text.parse::<id::Zone>().expect("valid"))?;
        check_round_trip(text.parse::<id::Rack>().expect("valid"))?;
        check_round_trip(text.parse::<id::Service>().expect("valid"))?;
        check_round_trip(text.parse::<id::Team>().expect("valid"))?;
        check_round_trip(text.parse::<id::Class>().expect("valid"))?;
        check_round_trip(text.parse::<id::Request>().expect("valid"))?;
        check_round_trip(text.parse::<id::Key>().expect("valid"))?;
    }

    #[test]
    fn numbers_round_trip(wide in any::<u64>(), narrow in any::<u32>()) {
        check_round_trip(id::Partition::new(narrow))?;
        check_round_trip(id::Attempt::new(narrow))?;
        check_round_trip(id::Incarnation::new(wide))?;
        check_round_trip(id::Job::new(wide))?;
        check_round_trip(id::Task { job: id::Job::new(wide), index: narrow })?;
        check_round_trip(revision::Revision::new(wide))?;
        check_round_trip(revision::Epoch::new(wide))?;
        check_round_trip(revision::Sequence::new(wide))?;
        check_round_trip(revision::Fence::new(wide))?;
        check_round_trip(revision::End::new(wide))?;
        check_round_trip(revision::Run::new(narrow))?;
        check_round_trip(revision::Incarnation::new(wide))?;
        check_round_trip(size::Accelerator::new(narrow))?;
        check_round_trip(size::Slot::new(narrow))?;
        check_round_trip(size::Connection::new(narrow))?;
        check_round_trip(rate::PerSecond::new(wide))?;
        check_round_trip(rate::Bits::new(wide))?;
        check_round_trip(rate::Share::from_milli(narrow))?;
    }

    #[test]
    fn sizes_round_trip(bytes in any::<u64>(), shift in 0u32..50, milli in any::<u64>(), count in any::<u32>()) {
        let memory = size::Bytes::new((bytes >> 14) >> (50 - shift) << shift);
        let processor = size::Processor::from_milli(milli);
        check_round_trip(memory)?;
        check_round_trip(size::Bytes::new(bytes))?;
        check_round_trip(processor)?;
        let accelerator = size::Accelerator::new(count);
        check_round_trip(size::Resources { processor, memory, accelerator })?;
    }

    #[test]
    fn parsing_arbitrary_text_never_panics(text in any::<String>()) {
        let _ = text.parse::<id::Job>();
        let _ = text.parse::<id::Task>();
        let _ = text.parse::<id::Key>();
        let _ = text.parse::<size::Bytes>();
        let _ = text.parse::<size::Processor>();
        let _ = text.parse::<size::Resources>();
        let _ = text.parse::<rate::Share>();
    }
}

#[test]
fn parse_error_quotes_the_text_and_describes_the_valid_form() {
    let error = "4GB".parse::<size::Bytes>().expect_err("GB is not a binary unit");
    assert_eq!(
        error.to_string(),
        "invalid number of bytes \"4GB\": write a number with KiB, MiB, GiB or TiB"
    );
}
