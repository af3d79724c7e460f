//! Tables that were written are read back with the reader of the parquet crate.

use std::fs::File;
use std::path::Path;

use ochrelead_parquet::{Cell, ColumnType, TableWriter};
use parquet::file::reader::{FileReader, SerializedFileReader};
use test_case::test_case;

fn path(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

#[test_case(0; "empty table")]
#[test_case(3; "one row group")]
#[test_case(70_000; "several row groups")]
fn written_rows_are_read_back(rows: i64) {
    let file = path(&format!("{rows}.parquet"));
    let columns = [("name", ColumnType::Text), ("count", ColumnType::Integer), ("share", ColumnType::Float)];
    let mut table = TableWriter::create(&file, &columns).unwrap();
    for row in 0..rows {
        let name = if row % 2 == 0 { Cell::Text(format!("s{row}")) } else { Cell::Empty };
        table.write_row(vec![name, Cell::Integer(row), Cell::Float(row as f64 / 2.0)]).unwrap();
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
fn row_with_wrong_cell_type_is_rejected_and_target_file_is_not_created() {
    let file = path("unfit.parquet");
    let mut table = TableWriter::create(&file, &[("count", ColumnType::Integer)]).unwrap();
    assert!(table.write_row(vec![Cell::Text("one".to_owned())]).unwrap_err().to_string().contains("row 0"));
    drop(table);
    assert!(!file.exists());
}
