//! What is written is read by the crate's own reader.

use std::fs::File;
use std::path::Path;

use ochrelead_parquet::{Cell, Kind, Table};
use parquet::file::reader::{FileReader, SerializedFileReader};
use test_case::test_case;

fn path(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

#[test_case(0; "empty")]
#[test_case(3; "one group")]
#[test_case(70_000; "several groups")]
fn all_rows_are_read_again(rows: i64) {
    let file = path(&format!("{rows}.parquet"));
    let columns = [("name", Kind::Text), ("count", Kind::Whole), ("share", Kind::Figure)];
    let mut table = Table::create(&file, &columns).unwrap();
    for nth in 0..rows {
        let name = if nth % 2 == 0 { Cell::Text(format!("s{nth}")) } else { Cell::Empty };
        table.row(vec![name, Cell::Whole(nth), Cell::Figure(nth as f64 / 2.0)]).unwrap();
    }
    assert_eq!(table.finish().unwrap(), rows as usize);
    let reader = SerializedFileReader::new(File::open(&file).unwrap()).unwrap();
    let read: Vec<String> = reader.get_row_iter(None).unwrap().map(|row| row.unwrap().to_string()).collect();
    assert_eq!(read.len(), rows as usize);
    if let Some(last) = read.last().filter(|_| rows == 3) {
        assert_eq!(last, "{name: \"s2\", count: 2, share: 1.0}");
    }
    if rows == 3 {
        assert_eq!(read[1], "{name: null, count: 1, share: 0.5}");
    }
}

#[test]
fn a_row_that_does_not_fit_is_refused_and_nothing_has_the_name() {
    let file = path("unfit.parquet");
    let mut table = Table::create(&file, &[("count", Kind::Whole)]).unwrap();
    assert!(table.row(vec![Cell::Text("one".to_owned())]).unwrap_err().to_string().contains("row 0"));
    drop(table);
    assert!(!file.exists());
}
