//! Writes tables as Parquet files. Rows are written in row groups, so that memory does not grow with the table. A file
//! is written under a temporary name and renamed when it is complete.
//!
//! ```
//! use ochrelead_parquet::{Cell, ColumnType, TableWriter};
//!
//! # let folder = std::env::temp_dir().join(format!("ochrelead-parquet-example-{}", std::process::id()));
//! # std::fs::create_dir_all(&folder).unwrap();
//! let path = folder.join("servers.parquet");
//! let mut table = TableWriter::create(&path, &[("server", ColumnType::Text), ("calls", ColumnType::Integer)])?;
//! table.write_row(vec![Cell::Text("s1".to_owned()), Cell::Integer(12)])?;
//! assert_eq!(table.finish()?, 1);
//! # std::fs::remove_dir_all(&folder).unwrap();
//! # Ok::<(), ochrelead_parquet::TableError>(())
//! ```
#![warn(missing_docs)]

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use parquet::basic::{ConvertedType, Repetition, Type as PhysicalType};
use parquet::data_type::{ByteArray, ByteArrayType, DataType, DoubleType, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedColumnWriter, SerializedFileWriter};
use parquet::schema::types::Type;

/// Number of rows of a row group.
const ROWS_PER_GROUP: usize = 32_768;

/// Why a table could not be written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum TableError {
    /// The file could not be created, written or renamed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file could not be encoded.
    #[error(transparent)]
    Parquet(#[from] ParquetError),
    /// The number or the types of a row's cells do not match the columns.
    #[error("row {row}: number or types of cells do not match the columns")]
    RowMismatch {
        /// The index of the row, counted from 0.
        row: usize,
    },
}

/// The type of a column. Every column is nullable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnType {
    /// UTF-8 text.
    Text,
    /// A signed 64-bit integer.
    Integer,
    /// A 64-bit floating-point number.
    Float,
}

/// The value of a cell, which must have the type of its column or be empty.
#[derive(Clone, Debug, PartialEq)]
pub enum Cell {
    /// No value (null).
    Empty,
    /// A value of a text column.
    Text(String),
    /// A value of an integer column.
    Integer(i64),
    /// A value of a float column.
    Float(f64),
}

/// The buffered non-null values of a column.
enum Values {
    Text(Vec<ByteArray>),
    Integer(Vec<i64>),
    Float(Vec<f64>),
}

/// The buffered rows of one column.
struct Column {
    values: Values,
    /// The definition level of each row: 1 if it has a value, 0 if it is null.
    definition_levels: Vec<i16>,
}

impl Column {
    fn new(column_type: ColumnType) -> Column {
        let values = match column_type {
            ColumnType::Text => Values::Text(Vec::new()),
            ColumnType::Integer => Values::Integer(Vec::new()),
            ColumnType::Float => Values::Float(Vec::new()),
        };
        Column { values, definition_levels: Vec::new() }
    }

    fn accepts(&self, cell: &Cell) -> bool {
        matches!(
            (cell, &self.values),
            (Cell::Empty, _)
                | (Cell::Text(_), Values::Text(_))
                | (Cell::Integer(_), Values::Integer(_))
                | (Cell::Float(_), Values::Float(_))
        )
    }

    fn push(&mut self, cell: Cell) {
        self.definition_levels.push(i16::from(cell != Cell::Empty));
        match (cell, &mut self.values) {
            (Cell::Text(text), Values::Text(values)) => values.push(ByteArray::from(text.into_bytes())),
            (Cell::Integer(integer), Values::Integer(values)) => values.push(integer),
            (Cell::Float(float), Values::Float(values)) => values.push(float),
            _ => {}
        }
    }

    fn flush(&mut self, writer: &mut SerializedColumnWriter<'_>) -> Result<(), ParquetError> {
        match &mut self.values {
            Values::Text(values) => write::<ByteArrayType>(writer, values, &self.definition_levels)?,
            Values::Integer(values) => write::<Int64Type>(writer, values, &self.definition_levels)?,
            Values::Float(values) => write::<DoubleType>(writer, values, &self.definition_levels)?,
        }
        self.definition_levels.clear();
        Ok(())
    }
}

fn write<T: DataType>(
    writer: &mut SerializedColumnWriter<'_>,
    values: &mut Vec<T::T>,
    definition_levels: &[i16],
) -> Result<(), ParquetError> {
    writer.typed::<T>().write_batch(values, Some(definition_levels), None)?;
    values.clear();
    Ok(())
}

/// Writes a table to a Parquet file.
pub struct TableWriter {
    /// The path of the file until it is complete.
    partial_path: PathBuf,
    path: PathBuf,
    writer: SerializedFileWriter<File>,
    columns: Vec<Column>,
    rows: usize,
}

impl TableWriter {
    /// Creates a table with these columns, given by name and type.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created.
    pub fn create(path: &Path, columns: &[(&str, ColumnType)]) -> Result<TableWriter, TableError> {
        let fields = columns.iter().map(|(name, column_type)| field(name, *column_type));
        let fields = fields.collect::<Result<Vec<_>, _>>()?;
        let schema = Type::group_type_builder("row").with_fields(fields).build()?;
        let partial_path = path.with_extension("parquet.next");
        let properties = Arc::new(WriterProperties::builder().build());
        let writer = SerializedFileWriter::new(File::create(&partial_path)?, Arc::new(schema), properties)?;
        let columns = columns.iter().map(|(_, column_type)| Column::new(*column_type)).collect();
        Ok(TableWriter { partial_path, path: path.to_owned(), writer, columns, rows: 0 })
    }

    /// Adds a row.
    ///
    /// # Errors
    ///
    /// Fails if the number or types of the cells do not match the columns, or if the file can't be written.
    pub fn write_row(&mut self, cells: Vec<Cell>) -> Result<(), TableError> {
        let matches_columns = cells.len() == self.columns.len()
            && cells.iter().zip(&self.columns).all(|(cell, column)| column.accepts(cell));
        if !matches_columns {
            return Err(TableError::RowMismatch { row: self.rows });
        }
        for (cell, column) in cells.into_iter().zip(&mut self.columns) {
            column.push(cell);
        }
        self.rows += 1;
        if self.rows % ROWS_PER_GROUP == 0 { self.flush() } else { Ok(()) }
    }

    /// Writes the buffered rows as a row group.
    fn flush(&mut self) -> Result<(), TableError> {
        if self.columns.first().is_none_or(|column| column.definition_levels.is_empty()) {
            return Ok(());
        }
        let mut group = self.writer.next_row_group()?;
        for column in &mut self.columns {
            let Some(mut writer) = group.next_column()? else { break };
            column.flush(&mut writer)?;
            writer.close()?;
        }
        group.close()?;
        Ok(())
    }

    /// Completes the file and renames it to its final path. Returns the number of rows.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written or renamed; an earlier file at the final path then remains unchanged.
    pub fn finish(mut self) -> Result<usize, TableError> {
        self.flush()?;
        self.writer.close()?;
        fs::rename(&self.partial_path, &self.path)?;
        Ok(self.rows)
    }
}

fn field(name: &str, column_type: ColumnType) -> Result<Arc<Type>, ParquetError> {
    let (physical, converted) = match column_type {
        ColumnType::Text => (PhysicalType::BYTE_ARRAY, ConvertedType::UTF8),
        ColumnType::Integer => (PhysicalType::INT64, ConvertedType::NONE),
        ColumnType::Float => (PhysicalType::DOUBLE, ConvertedType::NONE),
    };
    let builder = Type::primitive_type_builder(name, physical);
    builder.with_repetition(Repetition::OPTIONAL).with_converted_type(converted).build().map(Arc::new)
}
