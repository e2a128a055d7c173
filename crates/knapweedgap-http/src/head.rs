//! Inspection of a raw message head before the library decodes it.

/// Returns the length of the head including its empty line, if `bytes` holds a whole one.
///
/// `searched` is the number of leading bytes already known not to end a head.
pub(crate) fn find_end(bytes: &[u8], searched: usize) -> Option<usize> {
    const END: &[u8] = b"\r\n\r\n";
    let start = searched.saturating_sub(END.len() - 1);
    let rest = bytes.get(start..)?;
    let position = rest.windows(END.len()).position(|window| window == END)?;
    Some(start + position + END.len())
}

/// Disarms an `Expect` header in place and tells whether one was found.
///
/// The library would answer it from a thread pool of its own; the connection loop answers it
/// instead, so the library must not see it.
pub(crate) fn disarm_expect(head: &mut [u8]) -> bool {
    const NAME: &[u8] = b"\r\nexpect:";
    let matches = |window: &[u8]| window.eq_ignore_ascii_case(NAME);
    let Some(start) = head.windows(NAME.len()).position(matches) else { return false };
    // The first letter of the name changes, so the header keeps its length and loses its meaning.
    head[start + 2] = b'x';
    true
}
