//! The bounded tables.

use ochrelead_host::called_numbers::CalledNumberTable;
use ochrelead_host::recent_ids::RecentIds;

#[test]
fn a_new_called_number_takes_the_index_of_the_one_called_longest_ago() {
    let mut numbers = CalledNumberTable::new(2);
    assert!(numbers.is_empty());
    let (first, second) = (numbers.index("100"), numbers.index("200"));
    assert_ne!(first, second);
    assert_eq!(numbers.index("100"), first, "called again");
    assert_eq!(numbers.index("300"), second, "200 was called longest ago");
    assert_eq!(numbers.index("200"), first, "then 100");
    assert_eq!(numbers.len(), 2);
}

#[test]
fn a_called_number_table_holds_one_number_at_the_least() {
    let mut numbers = CalledNumberTable::new(0);
    assert_eq!(numbers.index("100"), numbers.index("200"));
    assert_eq!(numbers.len(), 1);
}

#[test]
fn recent_ids_forget_the_oldest_first() {
    let mut ids = RecentIds::new(2);
    for id in ["a", "b", "a", "c"] {
        ids.insert(id);
    }
    let known = ["a", "b", "c"].map(|id| ids.contains(id));
    assert_eq!(known, [false, true, true], "added again, a has kept its age");
}
