//! Tables as Parquet files, for the tools that people have. Rows are written in groups: memory does not grow with
//! the table. The file appears under its name when it is whole.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use parquet::basic::{ConvertedType, Repetition, Type as Physical};
use parquet::data_type::{ByteArray, ByteArrayType, DoubleType, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::types::Type;

/// What a column holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Text,
    Whole,
    Figure,
}

/// One cell; it must be of its column's kind, or empty.
#[derive(Clone, Debug, PartialEq)]
pub enum Cell {
    Empty,
    Text(String),
    Whole(i64),
    Figure(f64),
}

/// Rows of one group.
const GROUP: usize = 32_768;

enum Column {
    Text(Vec<ByteArray>),
    Whole(Vec<i64>),
    Figure(Vec<f64>),
}

/// A table that is being written.
pub struct Table {
    beside: PathBuf,
    path: PathBuf,
    writer: SerializedFileWriter<File>,
    /// Values, and for each row whether there is one.
    columns: Vec<(Column, Vec<i16>)>,
    rows: usize,
}

fn other(error: ParquetError) -> io::Error {
    io::Error::other(error)
}

impl Table {
    /// A table with these columns.
    ///
    /// # Errors
    ///
    /// Where the file can't be made.
    pub fn create(path: &Path, columns: &[(&str, Kind)]) -> io::Result<Table> {
        let field = |(name, kind): &(&str, Kind)| {
            let (physical, converted) = match kind {
                Kind::Text => (Physical::BYTE_ARRAY, ConvertedType::UTF8),
                Kind::Whole => (Physical::INT64, ConvertedType::NONE),
                Kind::Figure => (Physical::DOUBLE, ConvertedType::NONE),
            };
            let builder = Type::primitive_type_builder(name, physical);
            let built = builder.with_repetition(Repetition::OPTIONAL).with_converted_type(converted).build();
            built.map(Arc::new).map_err(other)
        };
        let fields = columns.iter().map(field).collect::<io::Result<Vec<_>>>()?;
        let schema = Type::group_type_builder("row").with_fields(fields).build().map_err(other)?;
        let beside = path.with_extension("parquet.next");
        let properties = Arc::new(WriterProperties::builder().build());
        let writer =
            SerializedFileWriter::new(File::create(&beside)?, Arc::new(schema), properties).map_err(other)?;
        let mut table = Table { beside, path: path.to_owned(), writer, columns: Vec::new(), rows: 0 };
        for (_, kind) in columns {
            let column = match kind {
                Kind::Text => Column::Text(Vec::new()),
                Kind::Whole => Column::Whole(Vec::new()),
                Kind::Figure => Column::Figure(Vec::new()),
            };
            table.columns.push((column, Vec::new()));
        }
        Ok(table)
    }

    /// Adds a row.
    ///
    /// # Errors
    ///
    /// Where a cell does not fit its column, or the disk fails.
    pub fn row(&mut self, cells: Vec<Cell>) -> io::Result<()> {
        let fits = cells.len() == self.columns.len()
            && cells.iter().zip(&self.columns).all(|(cell, (column, _))| {
                matches!(
                    (cell, column),
                    (Cell::Empty, _)
                        | (Cell::Text(_), Column::Text(_))
                        | (Cell::Whole(_), Column::Whole(_))
                        | (Cell::Figure(_), Column::Figure(_))
                )
            });
        if !fits {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("row {}: its cells do not fit", self.rows),
            ));
        }
        for (cell, (column, defined)) in cells.into_iter().zip(&mut self.columns) {
            defined.push(i16::from(cell != Cell::Empty));
            match (cell, column) {
                (Cell::Text(text), Column::Text(own)) => own.push(ByteArray::from(text.into_bytes())),
                (Cell::Whole(whole), Column::Whole(own)) => own.push(whole),
                (Cell::Figure(figure), Column::Figure(own)) => own.push(figure),
                _ => {}
            }
        }
        self.rows += 1;
        if self.rows % GROUP == 0 { self.flush() } else { Ok(()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.columns.first().is_none_or(|(_, defined)| defined.is_empty()) {
            return Ok(());
        }
        let mut group = self.writer.next_row_group().map_err(other)?;
        for (column, defined) in &mut self.columns {
            let Some(mut writer) = group.next_column().map_err(other)? else { break };
            match column {
                Column::Text(own) => {
                    writer.typed::<ByteArrayType>().write_batch(own, Some(defined), None).map_err(other)?;
                    own.clear();
                }
                Column::Whole(own) => {
                    writer.typed::<Int64Type>().write_batch(own, Some(defined), None).map_err(other)?;
                    own.clear();
                }
                Column::Figure(own) => {
                    writer.typed::<DoubleType>().write_batch(own, Some(defined), None).map_err(other)?;
                    own.clear();
                }
            }
            defined.clear();
            writer.close().map_err(other)?;
        }
        group.close().map(drop).map_err(other)
    }

    /// Ends the table and gives it its name. How many rows it has.
    ///
    /// # Errors
    ///
    /// Where the disk fails; nothing then has the name that had not before.
    pub fn finish(mut self) -> io::Result<usize> {
        self.flush()?;
        self.writer.close().map_err(other)?;
        fs::rename(&self.beside, &self.path)?;
        Ok(self.rows)
    }
}
