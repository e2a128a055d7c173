//! Guards the digest that proves whole answers.

use futures_lite::AsyncReadExt;
use futures_lite::future::block_on;
use knapweedgap_standin::payload::{Digest, Hasher, Pattern};
use proptest::prelude::*;

proptest! {
    #[test]
    fn the_digest_does_not_depend_on_the_pieces(bytes in any::<Vec<u8>>(), cut in any::<prop::sample::Index>()) {
        let cut = cut.index(bytes.len() + 1);
        let mut hasher = Hasher::default();
        hasher.write(&bytes[..cut]);
        hasher.write(&bytes[cut..]);
        prop_assert_eq!(hasher.digest(), Digest::of(&bytes));
        prop_assert_eq!(hasher.length(), bytes.len() as u64);
    }

    #[test]
    fn a_read_pattern_has_its_digest(name in "[a-z]{1,9}", length in 0_u64..20_000) {
        let mut bytes = Vec::new();
        block_on(Pattern::new(&name, length).read_to_end(&mut bytes)).expect("read");
        prop_assert_eq!(bytes.len() as u64, length);
        prop_assert_eq!(Pattern::new(&name, length).digest(), Digest::of(&bytes));
        prop_assert_eq!(Pattern::new(&name, length).bytes(), bytes);
    }

    #[test]
    fn a_written_digest_reads_back(bytes in any::<Vec<u8>>(), text in any::<String>()) {
        let digest = Digest::of(&bytes);
        prop_assert_eq!(digest.to_string().parse::<Digest>(), Ok(digest));
        let _ = text.parse::<Digest>();
    }
}

#[test]
fn answers_of_two_requests_do_not_look_alike() {
    assert_ne!(Pattern::new("a", 100).digest(), Pattern::new("b", 100).digest());
    assert_ne!(Pattern::new("a", 100).digest(), Pattern::new("a", 99).digest());
}
