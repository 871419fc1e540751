//! Files in which a control replica keeps what helps it after its next start, but which it can do
//! without.

use std::path::Path;

use prost::Message;
use tokio::task::spawn_blocking;

use super::store::{Magic, frame_checked, read_checked, replace_file};

/// A file of one message in the data directory.
pub(super) struct HintFile {
    /// Name of the file within the directory.
    pub name: &'static str,
    /// First bytes of the file.
    pub magic: &'static Magic,
}

impl HintFile {
    /// Reads the message; `None` if there is no file. An error says why the file is unusable.
    pub fn load<M: Message + Default>(&self, data_dir: &Path) -> Result<Option<M>, String> {
        let content = read_checked(self.magic, &data_dir.join(self.name));
        let Some(content) = content.map_err(|e| e.to_string())? else { return Ok(None) };
        M::decode(content).map(Some).map_err(|e| e.to_string())
    }

    /// Replaces the file.
    pub async fn save<M: Message>(&self, data_dir: &Path, message: &M) -> std::io::Result<()> {
        let data_dir = data_dir.to_owned();
        let content = frame_checked(self.magic, &message.encode_to_vec());
        let name = self.name;
        let write = move || replace_file(&data_dir, name, &content);
        spawn_blocking(write).await.map_err(std::io::Error::other)?
    }
}
