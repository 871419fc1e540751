//! Classes of prompts by length, by which metrics, reports and priorities are grouped.

use crate::ids::Tokens;

/// Longest prompt of the short class, in tokens.
pub const SHORT_MAX_TOKENS: Tokens = 4096;

/// Longest prompt of the medium class, in tokens.
const MEDIUM_MAX_TOKENS: Tokens = 32_000;

/// Longest prompt of the long class, in tokens.
const LONG_MAX_TOKENS: Tokens = 100_000;

/// Class of a prompt by its number of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PromptClass {
    /// Up to 4,096 tokens.
    Short,
    /// Up to 32,000 tokens.
    Medium,
    /// Up to 100,000 tokens.
    Long,
    /// Over 100,000 tokens.
    Huge,
}

impl PromptClass {
    /// All classes, shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// Returns the class of a prompt with this number of tokens.
    ///
    /// ```
    /// use bitternlead::prompt_class::PromptClass;
    ///
    /// assert_eq!(PromptClass::of(1000).name(), "short");
    /// ```
    pub fn of(tokens: Tokens) -> Self {
        match tokens {
            _ if tokens <= SHORT_MAX_TOKENS => Self::Short,
            _ if tokens <= MEDIUM_MAX_TOKENS => Self::Medium,
            _ if tokens <= LONG_MAX_TOKENS => Self::Long,
            _ => Self::Huge,
        }
    }

    /// Name of the class in metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
            Self::Huge => "huge",
        }
    }

    /// Amount that the class adds to a priority level, so that shorter prompts go first.
    pub fn priority_offset(self) -> u32 {
        self as u32
    }
}
