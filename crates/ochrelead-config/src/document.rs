//! Texts in protobuf text format, and what is wrong with them.

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
    DescriptorPool::decode(bytes.as_slice()).expect("the build has compiled the schemas")
});

/// The schema of a message of this crate.
fn schema_of(name: &str) -> MessageDescriptor {
    SCHEMAS
        .get_message_by_name(&format!("ochrelead.settings.{name}"))
        .expect("callers name messages of this crate's schemas only")
}

/// A text that is parsed and checked; it collects what is wrong with it.
pub struct Document {
    file: String,
    positions: FieldPositions,
    /// What is wrong, as far as it has been checked.
    pub diagnostics: Vec<Diagnostic>,
}

impl Document {
    /// Parses a text as a message of the schemas.
    ///
    /// # Errors
    ///
    /// Where the text is no such message.
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

    /// Parses a file as a message of the schemas.
    ///
    /// # Errors
    ///
    /// Where the file can't be read, is no UTF-8 text, or no such message.
    pub fn open<M: Message + Default>(path: &Path, message: &str) -> Result<(M, Document), Vec<Diagnostic>> {
        let file = path.display().to_string();
        let diagnostic =
            |message: String| vec![Diagnostic { file: file.clone(), line: 1, column: 1, message }];
        let bytes = fs::read(path).map_err(|error| diagnostic(format!("cannot be read: {error}")))?;
        let text =
            String::from_utf8(bytes).map_err(|error| diagnostic(format!("not UTF-8 text: {error}")))?;
        Document::parse(&file, &text, message)
    }

    /// Something is wrong with a field, by its path such as `server[1].lines`. A missing field is reported at the
    /// message that would hold it.
    pub fn report(&mut self, path: &str, message: impl Into<String>) {
        let Position { line, column } = self.positions.find(path);
        self.diagnostics.push(Diagnostic { file: self.file.clone(), line, column, message: message.into() });
    }

    /// Where a field is, as `file:line:column`.
    pub fn location(&self, path: &str) -> String {
        let Position { line, column } = self.positions.find(path);
        format!("{}:{line}:{column}", self.file)
    }

    /// The value of a field that must be there; the default where it is missing.
    pub fn required<T: Default>(&mut self, path: &str, value: Option<T>) -> T {
        value.unwrap_or_else(|| {
            self.report(path, format!("{} is missing", field_name(path)));
            T::default()
        })
    }

    /// A value that must lie between two others; the lower one where it does not.
    pub fn in_range(&mut self, path: &str, value: f64, min: f64, max: f64) -> f64 {
        if value >= min && value <= max {
            return value;
        }
        self.report(path, format!("{} is {value}; it must be from {min} to {max}", field_name(path)));
        min
    }

    /// Whether a field is there and none begins after it.
    pub fn is_last_field(&self, path: &str) -> bool {
        self.positions.is_last(path)
    }

    /// The checked value, unless something was wrong.
    ///
    /// # Errors
    ///
    /// All that is wrong.
    pub fn finish<T>(self, checked: T) -> Result<T, Vec<Diagnostic>> {
        if self.diagnostics.is_empty() { Ok(checked) } else { Err(self.diagnostics) }
    }
}

/// The name of a field, without the path to it.
fn field_name(path: &str) -> &str {
    path.rsplit('.').next().unwrap_or(path)
}

/// A message of the schemas as text.
pub fn to_text<M: Message>(message: &M, name: &str) -> String {
    let dynamic = DynamicMessage::decode(schema_of(name), message.encode_to_vec().as_slice());
    dynamic.expect("callers name the message's own schema").to_text_format()
}
