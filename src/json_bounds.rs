//! Bounds that JSON from outside has to keep before it is parsed.

/// Maximum depth of arrays and objects within each other.
pub const MAX_DEPTH: usize = 32;

/// Whether arrays and objects lie at most [`MAX_DEPTH`] deep within each other. Text that is no JSON may pass.
///
/// ```
/// use bitternlead::json_bounds::is_shallow;
///
/// assert!(is_shallow(br#"{"a":[1,"[[[["]}"#));
/// assert!(!is_shallow("[".repeat(40).as_bytes()));
/// ```
pub fn is_shallow(text: &[u8]) -> bool {
    let mut depth = 0usize;
    let mut in_string = false;
    let mut escaped = false;
    for byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return false;
        }
    }
    true
}
