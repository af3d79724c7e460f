//! Tests of the bounded tables.

use ochrelead_host::called_numbers::CalledNumberTable;
use ochrelead_host::recent_ids::RecentIds;

#[test]
fn new_called_number_takes_the_index_of_the_least_recently_called_one() {
    let mut numbers = CalledNumberTable::new(2);
    assert!(numbers.is_empty());
    let (first, second) = (numbers.index("100"), numbers.index("200"));
    assert_ne!(first, second);
    assert_eq!(numbers.index("100"), first, "called again");
    assert_eq!(numbers.index("300"), second, "200 is the least recently called");
    assert_eq!(numbers.index("200"), first, "100 is the least recently called");
    assert_eq!(numbers.len(), 2);
}

#[test]
fn called_number_table_of_capacity_0_holds_one_number() {
    let mut numbers = CalledNumberTable::new(0);
    assert_eq!(numbers.index("100"), numbers.index("200"));
    assert_eq!(numbers.len(), 1);
}

#[test]
fn recent_ids_evict_the_oldest_first() {
    let mut ids = RecentIds::new(2);
    for id in ["a", "b", "a", "c"] {
        ids.insert(id);
    }
    let contained = ["a", "b", "c"].map(|id| ids.contains(id));
    assert_eq!(contained, [false, true, true], "a second insertion of a does not renew it");
}
