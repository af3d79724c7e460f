//! Parses texts in protobuf text format and collects their errors.

use std::fs;
use std::path::Path;
use std::sync::LazyLock;

use miette::Diagnostic as _;
use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

use crate::diagnostic::Diagnostic;
use crate::field_positions::{FieldPositions, Position};

static SCHEMAS: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let bytes = include_bytes!(concat!(env!("OUT_DIR"), "/schemas.bin"));
    DescriptorPool::decode(bytes.as_slice()).expect("the build script compiles the schemas")
});

/// Returns the schema of a message, by its name.
fn schema_of(name: &str) -> MessageDescriptor {
    SCHEMAS
        .get_message_by_name(&format!("ochrelead.settings.{name}"))
        .expect("callers use names of messages of this crate only")
}

/// A parsed text, with the positions of its fields and the errors found so far.
pub struct Document {
    file: String,
    positions: FieldPositions,
    /// The errors found so far.
    pub diagnostics: Vec<Diagnostic>,
}

impl Document {
    /// Parses a text as the message with the name `message`. `file` is the name of the text in diagnostics.
    ///
    /// # Errors
    ///
    /// If the text is not a valid message of this type.
    pub fn parse<M: Message + Default>(
        file: &str,
        text: &str,
        message: &str,
    ) -> Result<(M, Document), Vec<Diagnostic>> {
        let diagnostic = |position: Position, message: String| {
            let Position { line, column } = position;
            vec![Diagnostic { file: file.to_owned(), line, column, message }]
        };
        let dynamic = DynamicMessage::parse_text_format(schema_of(message), text).map_err(|error| {
            let label = error.labels().and_then(|mut labels| labels.next());
            let offset = label.map_or(text.len(), |label| label.offset());
            diagnostic(Position::of_offset(text, offset), error.to_string())
        })?;
        let message = M::decode(dynamic.encode_to_vec().as_slice())
            .map_err(|error| diagnostic(Position::START, error.to_string()))?;
        let positions = FieldPositions::scan(text);
        Ok((message, Document { file: file.to_owned(), positions, diagnostics: Vec::new() }))
    }

    /// Reads and parses a file as the message with the name `message`.
    ///
    /// # Errors
    ///
    /// If the file can't be read, is not UTF-8, or is not a valid message of this type.
    pub fn open<M: Message + Default>(path: &Path, message: &str) -> Result<(M, Document), Vec<Diagnostic>> {
        let file = path.display().to_string();
        let diagnostic =
            |message: String| vec![Diagnostic { file: file.clone(), line: 1, column: 1, message }];
        let bytes = fs::read(path).map_err(|error| diagnostic(format!("file can't be read: {error}")))?;
        let text = String::from_utf8(bytes)
            .map_err(|error| diagnostic(format!("file is not UTF-8 text: {error}")))?;
        Document::parse(&file, &text, message)
    }

    /// Records an error in the field at `path`, such as `server[1].lines`. The position of a missing field is that of
    /// the enclosing message.
    pub fn report(&mut self, path: &str, message: impl Into<String>) {
        let Position { line, column } = self.positions.find(path);
        self.diagnostics.push(Diagnostic { file: self.file.clone(), line, column, message: message.into() });
    }

    /// Returns the position of a field as `file:line:column`.
    pub fn location(&self, path: &str) -> String {
        let Position { line, column } = self.positions.find(path);
        format!("{}:{line}:{column}", self.file)
    }

    /// Returns the value of a required field. If it is missing, reports that and returns the default of its type.
    pub fn required<T: Default>(&mut self, path: &str, value: Option<T>) -> T {
        value.unwrap_or_else(|| {
            self.report(path, format!("{} is missing", field_name(path)));
            T::default()
        })
    }

    /// Returns a value that must lie between `min` and `max`, both included. If it does not, reports that and returns
    /// `min`.
    pub fn in_range(&mut self, path: &str, value: f64, min: f64, max: f64) -> f64 {
        if value >= min && value <= max {
            return value;
        }
        self.report(path, format!("{} is {value}; it must be from {min} to {max}", field_name(path)));
        min
    }

    /// Returns whether a field is set and is the last one in the text.
    pub fn is_last_field(&self, path: &str) -> bool {
        self.positions.is_last(path)
    }

    /// Returns the checked value.
    ///
    /// # Errors
    ///
    /// All diagnostics, if there are any.
    pub fn finish<T>(self, checked: T) -> Result<T, Vec<Diagnostic>> {
        if self.diagnostics.is_empty() { Ok(checked) } else { Err(self.diagnostics) }
    }
}

/// Returns the name of a field without the path of its message.
fn field_name(path: &str) -> &str {
    path.rsplit('.').next().unwrap_or(path)
}

/// Encodes a message in text format. `name` is the name of the message's type.
pub fn to_text<M: Message>(message: &M, name: &str) -> String {
    let dynamic = DynamicMessage::decode(schema_of(name), message.encode_to_vec().as_slice());
    dynamic.expect("callers pass the name of the message's type").to_text_format()
}
