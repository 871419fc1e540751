//! Documents that were published last: a fetch that has begun can end although newer ones follow
//! faster than they can be fetched.

use std::collections::VecDeque;

use crate::ids::Version;
use crate::wire::Document;

/// Maximum number of documents.
const MAX_DOCUMENTS: usize = 32;

/// Maximum size of all documents but the newest, in bytes.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// The newest documents, in the order of their versions.
///
/// ```
/// use bitternlead::control::recent_documents::RecentDocuments;
/// use bitternlead::wire::Document;
///
/// let mut recent = RecentDocuments::default();
/// for version in 1..=40 {
///     recent.add(&Document { version, ..Document::default() });
/// }
/// assert!(recent.find(40).is_some() && recent.find(9).is_some());
/// assert!(recent.find(8).is_none());
/// ```
#[derive(Debug, Default)]
pub struct RecentDocuments {
    documents: VecDeque<Document>,
}

impl RecentDocuments {
    /// Adds a document unless it is not newer than the newest; drops the oldest beyond the bounds.
    pub fn add(&mut self, document: &Document) {
        if self.documents.back().is_some_and(|newest| newest.version >= document.version) {
            return;
        }
        let mut bytes: usize = self.documents.iter().map(|d| d.body.len()).sum();
        self.documents.push_back(document.clone());
        while self.documents.len() > MAX_DOCUMENTS || bytes > MAX_BYTES {
            let Some(oldest) = self.documents.pop_front() else { return };
            bytes = bytes.saturating_sub(oldest.body.len());
        }
    }

    /// The document of a version, if it is still kept.
    pub fn find(&self, version: Version) -> Option<&Document> {
        self.documents.iter().find(|document| document.version == version)
    }
}
