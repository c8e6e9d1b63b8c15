//! Plain-text tables of JSON objects.

use serde_json::Value;

/// A table with a row for each JSON object. A column shows the field at a path such as `id.job`.
#[derive(Debug)]
pub(crate) struct Table {
    columns: Vec<String>,
}

impl Table {
    pub(crate) fn new(columns: &[&str]) -> Self {
        Self {
            columns: columns.iter().map(|column| (*column).to_owned()).collect(),
        }
    }

    /// Formats an array of objects as aligned columns with a header line.
    pub(crate) fn format(&self, rows: &Value) -> String {
        let header = self.columns.iter().map(|column| heading(column)).collect();
        let mut lines: Vec<Vec<String>> = vec![header];
        for row in rows.as_array().into_iter().flatten() {
            let cells = self.columns.iter().map(|path| cell(field(row, path)));
            lines.push(cells.collect());
        }
        let widths: Vec<usize> = (0..self.columns.len())
            .map(|column| {
                lines
                    .iter()
                    .map(|line| width(&line[column]))
                    .max()
                    .unwrap_or(0)
            })
            .collect();
        lines.iter().map(|line| pad(line, &widths)).collect()
    }
}

fn heading(column: &str) -> String {
    let name = column.rsplit('.').next().unwrap_or(column);
    name.to_uppercase().replace('_', " ")
}

fn field<'a>(row: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(row, |value, name| &value[name])
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Object(members) => {
            let members = members
                .iter()
                .map(|(name, value)| format!("{name}={}", cell(value)));
            members.collect::<Vec<String>>().join(" ")
        }
        other => other.to_string(),
    }
}

fn width(text: &str) -> usize {
    text.chars().count()
}

fn pad(line: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in line.iter().zip(widths) {
        text.push_str(&format!("{cell:width$}  "));
    }
    format!("{}\n", text.trim_end())
}
