//! The position of each field in a text.

use std::collections::BTreeMap;

/// A position in a text. Line and column are counted from 1, the column in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

impl Position {
    pub(crate) const START: Position = Position { line: 1, column: 1 };

    /// Returns the position of the byte at `offset`.
    pub(crate) fn of_offset(text: &str, offset: usize) -> Position {
        let before = &text.as_bytes()[..offset.min(text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
        Position { line, column }
    }
}

/// The positions of all fields by path. The path of the first occurrence of a repeated field has no index.
pub(crate) struct FieldPositions(BTreeMap<String, Position>);

impl FieldPositions {
    /// Finds all fields of a text. The text has been parsed before, so that its syntax is known to be valid.
    pub(crate) fn scan(text: &str) -> FieldPositions {
        let mut scanner = Scanner::new(text);
        while scanner.offset < text.len() {
            scanner.scan_token();
        }
        FieldPositions(scanner.positions)
    }

    /// Returns the position of a field, or of the innermost enclosing message if the field is missing.
    pub(crate) fn find(&self, path: &str) -> Position {
        // The first occurrence of a repeated field is stored without an index.
        let path = path.replace("[0]", "");
        let mut path = path.as_str();
        loop {
            if let Some(position) = self.0.get(path) {
                return *position;
            }
            match path.rfind('.') {
                Some(end) => path = &path[..end],
                None => return Position::START,
            }
        }
    }

    /// Returns whether a field is set and is the last one in the text.
    pub(crate) fn is_last(&self, path: &str) -> bool {
        let last = self.0.values().max();
        last.is_some() && self.0.get(path) == last
    }
}

/// Scans a text for fields, one token at a time.
struct Scanner<'a> {
    text: &'a str,
    offset: usize,
    /// The names, with index, of the enclosing messages, the outermost first.
    enclosing: Vec<String>,
    /// The name, with index, of the field whose value follows.
    pending: Option<String>,
    /// The number of occurrences of each path so far.
    occurrences: BTreeMap<String, usize>,
    positions: BTreeMap<String, Position>,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Scanner<'a> {
        Scanner {
            text,
            offset: 0,
            enclosing: Vec::new(),
            pending: None,
            occurrences: BTreeMap::new(),
            positions: BTreeMap::new(),
        }
    }

    /// Returns the text that has not been scanned yet.
    fn remaining(&self) -> &'a [u8] {
        &self.text.as_bytes()[self.offset..]
    }

    /// Scans one token.
    fn scan_token(&mut self) {
        match self.remaining()[0] {
            b'#' => self.skip_comment(),
            quote @ (b'"' | b'\'') => self.skip_string(quote),
            b'{' | b'<' => {
                self.enclosing.extend(self.pending.take());
                self.offset += 1;
            }
            b'}' | b'>' => {
                self.enclosing.pop();
                self.offset += 1;
            }
            byte if byte.is_ascii_alphabetic() || byte == b'_' => self.scan_word(),
            _ => self.offset += 1,
        }
    }

    fn skip_comment(&mut self) {
        let remaining = self.remaining();
        self.offset += remaining.iter().position(|byte| *byte == b'\n').unwrap_or(remaining.len());
    }

    fn skip_string(&mut self, quote: u8) {
        let bytes = self.text.as_bytes();
        self.offset += 1;
        while self.offset < bytes.len() && bytes[self.offset] != quote {
            self.offset += if bytes[self.offset] == b'\\' { 2 } else { 1 };
        }
        self.offset += 1;
        self.pending = None;
    }

    /// Scans a word. It is a field name if a colon or a message follows, and a value otherwise.
    fn scan_word(&mut self) {
        let remaining = self.remaining();
        let length =
            remaining.iter().take_while(|byte| byte.is_ascii_alphanumeric() || **byte == b'_').count();
        let after = &remaining[length..];
        let next = after.iter().position(|byte| !byte.is_ascii_whitespace());
        let Some(next) = next.filter(|next| matches!(after[*next], b':' | b'{' | b'<')) else {
            self.offset += length;
            return;
        };
        self.add_field(length);
        self.offset += length;
        if after[next] == b':' {
            self.offset += next;
        }
    }

    /// Records the field whose name begins at the current offset and has `length` bytes.
    fn add_field(&mut self, length: usize) {
        let name = &self.text[self.offset..self.offset + length];
        let enclosing = self.enclosing.iter().map(String::as_str);
        let path = enclosing.chain([name]).collect::<Vec<_>>().join(".");
        let count = self.occurrences.entry(path.clone()).or_insert(0);
        let indexed = if *count == 0 { path } else { format!("{path}[{count}]") };
        *count += 1;
        self.pending = indexed.rsplit('.').next().map(str::to_owned);
        self.positions.insert(indexed, Position::of_offset(self.text, self.offset));
    }
}
