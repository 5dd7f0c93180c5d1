//! Decodes inventories in CSV format, with one row for each storage node.

use super::{Field, Fields, InventoryFault, Row};

/// Columns that every file must have.
const REQUIRED_COLUMNS: [&str; 3] = ["name", "address", "rack"];

/// Decodes the rows of a file. Empty cells count as missing, and unknown columns are ignored.
///
/// # Errors
///
/// Returns a fault for each required column that is missing, or a fault for the first malformed row.
pub fn decode_rows(text: &str) -> Result<Vec<Row>, Vec<InventoryFault>> {
    let mut reader =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let header = reader.headers().map_err(malformed_row)?.clone();
    check_columns(&header)?;
    reader
        .records()
        .map(|record| record.map(|record| decode_row(&header, &record)).map_err(malformed_row))
        .collect()
}

fn check_columns(header: &csv::StringRecord) -> Result<(), Vec<InventoryFault>> {
    let is_missing = |column: &&str| !header.iter().any(|present| present == *column);
    let faults: Vec<_> = REQUIRED_COLUMNS
        .into_iter()
        .filter(is_missing)
        .map(|column| InventoryFault::new(1, column, "the header has no such column"))
        .collect();
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

fn decode_row(header: &csv::StringRecord, record: &csv::StringRecord) -> Row {
    let line = line_of(record.position());
    let mut fields: Fields = header
        .iter()
        .zip(record)
        .filter(|(_, value)| !value.is_empty())
        .map(|(column, value)| (column.to_owned(), Field { value: value.to_owned(), line }))
        .collect();
    let name = fields.remove("name").map_or(String::new(), |field| field.value);
    Row { name, line, fields }
}

fn malformed_row(error: csv::Error) -> Vec<InventoryFault> {
    vec![InventoryFault::new(line_of(error.position()), "row", error.to_string())]
}

fn line_of(position: Option<&csv::Position>) -> usize {
    position.map_or(1, |position| position.line() as usize)
}
