//! One self-contained HTML page for the runs of a scenario: tables, time lines and distributions, no scripts.
use crate::checker::Span;
use crate::experiment::comparison;
use crate::run::RunResult;
use crate::scenario::Variant;
use crate::table::table;
use plotters::prelude::*;
use std::fmt::Write;

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("drawing a plot: {0}")]
pub struct ReportError(String);

const SIZE: (u32, u32) = (860, 280);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(90, 90, 90),
];

/// Lines with their names, as an SVG picture.
fn plot(
    caption: &str,
    axes: (&str, &str),
    lines: &[(String, Vec<(f64, f64)>)],
    most_y: Option<f64>,
) -> Result<String, ReportError> {
    let error = |e: DrawingAreaErrorKind<std::io::Error>| ReportError(e.to_string());
    let points = || lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|p| p.0).fold(1e-3, f64::max);
    let top = most_y.unwrap_or_else(|| points().map(|p| p.1).fold(1.0, f64::max) * 1.05);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..right, 0.0..top)
            .map_err(error)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc(axes.0).y_desc(axes.1).light_line_style(WHITE).draw().map_err(error)?;
        for ((name, points), colour) in lines.iter().zip(COLOURS.iter().cycle()) {
            let series = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            let drawn = chart.draw_series(series).map_err(error)?;
            drawn
                .label(name)
                .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        let mut legend = chart.configure_series_labels();
        legend
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3));
        legend.draw().map_err(error)?;
        area.present().map_err(error)?;
    }
    Ok(svg)
}

fn line(name: &str, spans: &[Span], of: fn(&Span) -> u32) -> (String, Vec<(f64, f64)>) {
    (name.to_owned(), spans.iter().enumerate().map(|(s, span)| (s as f64, f64::from(of(span)))).collect())
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page. Runs that were cut short are marked as such.
pub fn html(title: &str, results: &[RunResult], variants: &[Variant]) -> Result<String, ReportError> {
    let mut page = String::new();
    let title = escaped(title);
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>\
         body{{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}}\
         pre{{background:#f4f4f4;padding:.8em;overflow-x:auto}}.cut{{color:#b00;font-weight:bold}}\
         svg{{max-width:100%;height:auto}}</style><h1>{title}</h1>"
    );
    let cut = results.iter().filter(|p| p.cut_short).count();
    if cut > 0 {
        let _ = write!(page, "<p class=\"cut\">Partial report: {cut} of these plays were cut short.</p>");
    }
    let _ = write!(page, "<p>{} plays.</p>", results.len());
    if variants.len() > 1 {
        let table = escaped(&comparison(results, variants));
        let _ = write!(page, "<h2>Variants</h2><pre>{table}</pre>");
    }
    let firsts = variants.iter().filter_map(|v| results.iter().find(|p| p.variant == v.name));
    let firsts: Vec<&RunResult> = firsts.collect();
    let classes = firsts.first().map_or(0, |p| p.verdict.latencies.len());
    let _ = write!(page, "<h2>Time to delivery</h2>");
    for class in 0..classes {
        let of =
            |p: &&RunResult| p.verdict.latencies.get(class).map(|l| (p.variant.clone(), swapped(&l.points)));
        let lines: Vec<_> = firsts.iter().filter_map(of).collect();
        let name = firsts.first().map_or(String::new(), |p| p.verdict.latencies[class].class.clone());
        page.push_str(&plot(&name, ("seconds", "share delivered by then"), &lines, Some(1.0))?);
    }
    for result in firsts {
        let (spans, name) = (&result.verdict.spans, escaped(&result.variant));
        let _ = write!(page, "<h2>{name}, seed {}</h2>", result.seed);
        let served = [
            line("wanted", spans, |s| s.wanted),
            line("delivered", spans, |s| s.delivered),
            line("refused", spans, |s| s.refused),
            line("failed", spans, |s| s.failed),
        ];
        page.push_str(&plot("messages", ("second of the play", "a second"), &served, None)?);
        let calls = [
            line("calls", spans, |s| s.calls),
            line("calls refused", spans, |s| s.calls_refused),
            line("connections made", spans, |s| s.connections),
        ];
        page.push_str(&plot("at the partners", ("second of the play", "a second"), &calls, None)?);
        let _ = write!(page, "<pre>{}</pre><ul>", escaped(&table(result)));
        for (at, what) in &result.verdict.events {
            let _ = write!(page, "<li>{at:.1} s: {}</li>", escaped(what));
        }
        page.push_str("</ul>");
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn swapped(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    points.iter().map(|(quantile, seconds)| (*seconds, *quantile)).collect()
}

#[cfg(test)]
mod tests;
