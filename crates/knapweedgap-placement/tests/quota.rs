//! Guards against a quota that counts only the committed sizes of one partition.

use knapweedgap_placement::quota::Table;

#[test]
fn use_in_other_partitions_counts_against_the_quota() {
    let team = "plans".parse().expect("valid");
    let size = |text: &str| text.parse().expect("valid");
    let mut table = Table::default();
    table.teams.insert("plans".parse().expect("valid"), size("8/8GiB/0"));
    table.other_partitions.insert("plans".parse().expect("valid"), size("5/2GiB/0"));
    assert!(table.allows(&team, size("1/1GiB/0"), size("2/1GiB/0")));
    assert!(!table.allows(&team, size("2/1GiB/0"), size("2/1GiB/0")));
    assert_eq!(
        table.of(&team),
        Some(size("8/8GiB/0")),
        "a single task is bounded by the full quota"
    );
}
