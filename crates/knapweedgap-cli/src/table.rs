//! Plain-text tables.

/// Renders rows below headings. Each column is as wide as its longest cell.
pub(crate) fn render(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headings.iter().map(|heading| heading.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    push_line(&mut text, headings.iter().copied(), &widths);
    for row in rows {
        push_line(&mut text, row.iter().map(String::as_str), &widths);
    }
    text
}

fn push_line<'a>(text: &mut String, cells: impl Iterator<Item = &'a str>, widths: &[usize]) {
    let mut line = String::new();
    for (cell, width) in cells.zip(widths) {
        line.push_str(&format!("{cell:<width$}  "));
    }
    text.push_str(line.trim_end());
    text.push('\n');
}
