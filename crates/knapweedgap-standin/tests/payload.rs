//! Tests the digests and generated bodies that verify complete answers.

use futures_lite::AsyncReadExt;
use futures_lite::future::block_on;
use knapweedgap_standin::payload::{Digest, Hasher, Pattern};
use proptest::prelude::*;

proptest! {
    #[test]
    fn the_digest_does_not_depend_on_the_chunks(bytes in any::<Vec<u8>>(), split in any::<prop::sample::Index>()) {
        let split = split.index(bytes.len() + 1);
        let mut hasher = Hasher::default();
        hasher.write(&bytes[..split]);
        hasher.write(&bytes[split..]);
        prop_assert_eq!(hasher.digest(), Digest::of(&bytes));
        prop_assert_eq!(hasher.length(), bytes.len() as u64);
    }

    #[test]
    fn a_pattern_read_as_a_stream_has_the_expected_digest(name in "[a-z]{1,9}", length in 0_u64..20_000) {
        let mut bytes = Vec::new();
        block_on(Pattern::new(&name, length).read_to_end(&mut bytes)).expect("read");
        prop_assert_eq!(bytes.len() as u64, length);
        prop_assert_eq!(Pattern::new(&name, length).digest(), Digest::of(&bytes));
        prop_assert_eq!(Pattern::new(&name, length).bytes(), bytes);
    }

    #[test]
    fn a_formatted_digest_parses_back(bytes in any::<Vec<u8>>(), text in any::<String>()) {
        let digest = Digest::of(&bytes);
        prop_assert_eq!(digest.to_string().parse::<Digest>(), Ok(digest));
        let _ = text.parse::<Digest>();
    }
}

#[test]
fn patterns_of_different_names_or_lengths_have_different_digests() {
    assert_ne!(Pattern::new("a", 100).digest(), Pattern::new("b", 100).digest());
    assert_ne!(Pattern::new("a", 100).digest(), Pattern::new("a", 99).digest());
}
