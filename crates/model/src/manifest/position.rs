//! Positions of JSON values in a text, by JSON pointer.

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::Value as Ast,
    common::{Range, Ranged},
    parse_to_ast,
};
use std::{borrow::Borrow, collections::BTreeMap};

/// A position in a text. Line and column are counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

/// A parsed JSON text with the positions of its values.
#[derive(Debug)]
pub struct Document {
    /// The root value.
    pub value: serde_json::Value,
    offsets: BTreeMap<String, usize>,
    text: Box<str>,
}

impl Document {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// Returns the position and cause of the first syntax error or duplicate key.
    pub fn parse(text: &str) -> Result<Document, (Position, String)> {
        let options = ParseOptions {
            allow_comments: false,
            allow_loose_object_property_names: false,
            allow_trailing_commas: false,
        };
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options)
            .map_err(|e| (position_at(text, e.range().start), e.kind().to_string()))?;
        let mut offsets = BTreeMap::new();
        if let Some(root) = &parsed.value {
            collect(root, String::new(), &mut offsets)
                .map_err(|(offset, cause)| (position_at(text, offset), cause))?;
        }
        // serde_json is strict and decides what is valid. The other parser only finds positions.
        let value = serde_json::from_str(text).map_err(|e| {
            let position = Position { line: e.line().max(1), column: e.column().max(1) };
            (position, e.to_string())
        })?;
        Ok(Document { value, offsets, text: text.into() })
    }

    /// Returns the position of the value at `pointer`, or of its nearest existing ancestor.
    pub fn position(&self, pointer: &str) -> Position {
        let mut pointer = pointer;
        loop {
            if let Some(offset) = self.offsets.get(pointer) {
                return position_at(&self.text, *offset);
            }
            match pointer.rfind('/') {
                Some(end) => pointer = &pointer[..end],
                None => return Position { line: 1, column: 1 },
            }
        }
    }
}

/// Appends a key to a JSON pointer.
pub fn join(pointer: &str, key: &str) -> String {
    let key = key.replace('~', "~0").replace('/', "~1");
    format!("{pointer}/{key}")
}

fn collect(
    value: &Ast<'_>,
    pointer: String,
    offsets: &mut BTreeMap<String, usize>,
) -> Result<(), (usize, String)> {
    offsets.entry(pointer.clone()).or_insert(start(value.range()));
    match value {
        Ast::Object(object) => {
            for property in &object.properties {
                let name: &str = property.name.as_str();
                let child = join(&pointer, name);
                let offset = start(property.range);
                if offsets.insert(child.clone(), offset).is_some() {
                    return Err((offset, format!("the key `{name}` appears twice")));
                }
                collect(&property.value, child, offsets)?;
            }
        }
        Ast::Array(array) => {
            for (number, element) in array.elements.iter().enumerate() {
                collect(element, join(&pointer, &number.to_string()), offsets)?;
            }
        }
        _ => {}
    }
    Ok(())
}

fn start(range: impl Borrow<Range>) -> usize {
    range.borrow().start
}

fn position_at(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Position {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}
