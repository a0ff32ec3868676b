//! Numbered pages of the endpoint list: parts of it that other input lines refer to by number. A `page` line announces a page and
//! the number of `item` lines that follow, each with one entry.

use crate::line::{InputError, Line};
use stackgw_router::api::{GroupId, Lifecycle, Member, MemberId};
use std::collections::HashMap;

/// The highest number of a page.
const MAX_PAGE: u32 = 15;

/// A list entry before an instance has assigned an id to its member.
#[derive(Debug, Clone)]
pub struct ListedMember {
    /// The member's name on the wire.
    pub name: String,
    /// The entry. Its id is a placeholder.
    pub member: Member,
}

impl ListedMember {
    fn parse(line: &Line) -> Result<Self, InputError> {
        let weight = line.optional_number("Weight")?.unwrap_or(1.0);
        if weight < 0.0 {
            return Err(line.error("Weight", "is below 0"));
        }
        let lifecycle = match line.text("Readiness")? {
            "in_service" => Lifecycle::Serving,
            "terminating" => Lifecycle::Draining,
            "terminated" => Lifecycle::Removed,
            other => return Err(line.error("Readiness", format!("'{other}' is unknown"))),
        };
        let group = GroupId(line.index("Shard")?);
        let zone = match line.optional_text("Area") {
            Some(_) => line.index("Area")?,
            None => 0,
        };
        let member = Member {
            id: MemberId(0),
            group,
            zone,
            weight,
            started_at: line.optional_integer("StartedAtNs")?.filter(|t| *t != 0),
            lifecycle,
            listed_primary: line.optional_number("Leads")?.unwrap_or(0.0) > 0.0,
        };
        Ok(ListedMember {
            name: line.text("Server")?.to_owned(),
            member,
        })
    }
}

/// A page that is being received.
#[derive(Debug)]
struct PageInProgress {
    page: u32,
    /// The number of entries that have not been received yet; above 0.
    missing: u32,
}

/// All pages announced so far; they are shared by all instances of the process. Announcing a page again replaces its entries.
#[derive(Debug, Default)]
pub struct MemberPages {
    pages: HashMap<u32, Vec<ListedMember>>,
    in_progress: Option<PageInProgress>,
}

impl MemberPages {
    /// Returns the entries of a page, if it has been announced.
    pub fn get(&self, page: u32) -> Option<&[ListedMember]> {
        self.pages.get(&page).map(Vec::as_slice)
    }

    /// Handles a `page` line, which announces a page and its number of entries.
    ///
    /// # Errors
    /// If the line is malformed, or the page's number is above 15.
    pub fn begin_page(&mut self, line: &Line) -> Result<(), InputError> {
        let page = line.index("Buffer")?;
        if page > MAX_PAGE {
            return Err(line.error("Buffer", "must be from 0 to 15"));
        }
        let missing = line.index("MembersList")?;
        self.pages.insert(page, Vec::new());
        self.in_progress = (missing > 0).then_some(PageInProgress { page, missing });
        Ok(())
    }

    /// Adds a line as the next entry of the page that is being received. If no page is being received, returns false and ignores
    /// the line.
    ///
    /// # Errors
    /// If a page is being received and the line is not an `item` line or is malformed.
    pub fn add_entry(&mut self, line: &Line) -> Result<bool, InputError> {
        let Some(progress) = &mut self.in_progress else {
            return Ok(false);
        };
        if line.name != "item" {
            let missing = progress.missing;
            let problem = format!("{missing} more 'item' lines were announced");
            return Err(line.error("MembersList", problem));
        }
        let entry = ListedMember::parse(line)?;
        self.pages.entry(progress.page).or_default().push(entry);
        progress.missing -= 1;
        if progress.missing == 0 {
            self.in_progress = None;
        }
        Ok(true)
    }
}
