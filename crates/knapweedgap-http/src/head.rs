//! Inspection of a raw message head before the library decodes it.

/// Returns the length of the head including its empty line, or `None` if `bytes` does not contain a
/// complete head.
///
/// `searched` is the number of leading bytes in which no end of a head was found before.
pub(crate) fn find_end(bytes: &[u8], searched: usize) -> Option<usize> {
    const END: &[u8] = b"\r\n\r\n";
    let start = searched.saturating_sub(END.len() - 1);
    let rest = bytes.get(start..)?;
    let position = rest.windows(END.len()).position(|window| window == END)?;
    Some(start + position + END.len())
}

/// Masks an `Expect` header in place and returns `true` if one was found.
///
/// The library would respond to it from its own thread pool. The connection loop responds instead,
/// so the header is hidden from the library.
pub(crate) fn mask_expect(head: &mut [u8]) -> bool {
    const NAME: &[u8] = b"\r\nexpect:";
    let matches = |window: &[u8]| window.eq_ignore_ascii_case(NAME);
    let Some(start) = head.windows(NAME.len()).position(matches) else { return false };
    // Changing the first letter of the name keeps the length of the header but not its meaning.
    head[start + 2] = b'x';
    true
}
