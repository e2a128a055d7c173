//! Formatting of wall-clock times.

const DAY_MS: u64 = 86_400_000;

/// Formats milliseconds since 1970 as UTC, as `2026-12-04T11:33:13.480Z`.
///
/// The date is computed with `civil_from_days` from Howard Hinnant, "chrono-Compatible Low-Level
/// Date Algorithms" (2013), in which a year starts in March.
pub(crate) fn utc(wall_ms: u64) -> String {
    let (days, ms) = (wall_ms / DAY_MS, wall_ms % DAY_MS);
    let days = days + 719_468;
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    let (hour, minute) = (ms / 3_600_000, ms / 60_000 % 60);
    let (second, ms) = (ms / 1_000 % 60, ms % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z")
}
