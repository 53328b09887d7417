#include "emulator/report/page.h"

#include <spdlog/fmt/fmt.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "emulator/report/result.h"

using nlohmann::json;

namespace dapplewharf::emulator {
namespace {

/// Up to this many endpoints are drawn as lines, more as a colour map.
constexpr std::size_t kMaxEndpointLines = 16;

json read_json(const std::string& path) {
  std::ifstream in(path);
  const json out = json::parse(in, nullptr, false);
  if (!in.is_open() || out.is_discarded()) {
    throw InvalidInput(path + ":0:0: is missing or no JSON; expected what a run wrote with --out");
  }
  return out;
}

std::string escape_html(const std::string& text) {
  std::string out;
  for (const char character : text) {
    out += character == '<'   ? "&lt;"
           : character == '&' ? "&amp;"
           : character == '>' ? "&gt;"
                              : std::string(1, character);
  }
  return out;
}

/// A temporary folder for the files of the plots.
struct ScratchFolder {
  std::string path =
      (std::filesystem::temp_directory_path() / fmt::format("dapplewharf-page-{}", getpid())).string();
  ScratchFolder() { std::filesystem::create_directories(path); }
  ~ScratchFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
};

/// Draws a gnuplot script and returns the SVG.
std::string plot(const ScratchFolder& scratch, const std::string& name, const std::string& script) {
  const std::string file = scratch.path + "/" + name + ".gp";
  const std::string svg = scratch.path + "/" + name + ".svg";
  write_file(file,
             fmt::format(
                 "set terminal svg size 900,300 dynamic name '{}' font 'sans-serif,11' background '#ffffff'\n"
                 "set output '{}'\nset grid back lc rgb '#e4e4e4'\nset border 3 lc rgb '#888888'\nset tics "
                 "nomirror\n"
                 "set key outside right top samplen 1.5\nset xlabel 'seconds of the run'\n",
                 name, svg) +
                 script);
  const int status = std::system(("gnuplot '" + file + "' 2>'" + scratch.path + "/fault'").c_str());
  std::ifstream in(svg);
  std::ostringstream text;
  text << in.rdbuf();
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0 || text.str().find("</svg>") == std::string::npos) {
    std::ifstream fault(scratch.path + "/fault");
    std::string line;
    std::getline(fault, line);
    throw std::runtime_error("gnuplot did not draw '" + name +
                             "': " + (line.empty() ? "no SVG was written" : line));
  }
  const std::string svg_text = text.str();
  return svg_text.substr(svg_text.find("<svg"));
}

/// Faults as shaded areas behind a plot.
/// @param named whether their names are shown above; names of overlapping faults stand in different rows.
std::string fault_areas(const json& series, bool named) {
  std::string out;
  std::vector<double> row_ends;
  int number = 0;
  for (const json& fault : series.at("troubles")) {
    const double from = fault.at("from_s");
    const double to = fault.at("to_s");
    out += fmt::format(
        "set object {} rect from {},graph 0 to {},graph 1 behind fs solid 0.25 noborder fc rgb '#f2a154'\n",
        ++number, from, to);
    if (!named) {
      continue;
    }
    std::size_t row = 0;
    while (row < row_ends.size() && row_ends[row] > from) {
      ++row;
    }
    if (row == row_ends.size()) {
      row_ends.push_back(0);
    }
    row_ends[row] = std::max(to, from + 6);
    out +=
        fmt::format("set label {} '{}' at {},graph {} font ',9' tc rgb '#8a4b08' noenhanced\n", number,
                    fault.at("name").get<std::string>(), from + 0.1, 0.94 - 0.07 * static_cast<double>(row));
  }
  return out;
}

/// Writes the figures of each second for the plots and returns the path.
std::string write_plot_data(const ScratchFolder& scratch, const json& series) {
  std::string rows;
  int index = 0;
  for (const json& second : series.at("seconds")) {
    const double wanted = second.at("wanted");
    const double served = second.at("served");
    rows += fmt::format("{} {} {} {} {} {} {} {} {} {} {} {}\n", index++ + 0.5,
                        wanted > 0 ? fmt::format("{}", 100 * std::min(1.0, served / wanted)) : "NaN",
                        second.at("honoured").get<int>(), second.at("rejected").get<int>(),
                        second.at("scrapped").get<int>(), second.at("moved").get<int>(),
                        second.at("cut").get<int>(), second.at("setup_p50").get<double>(),
                        second.at("setup_p99").get<double>(), second.at("message_p50").get<double>(),
                        second.at("message_p99").get<double>(), second.at("standing").get<double>());
  }
  const std::string file = scratch.path + "/run.dat";
  write_file(file, rows);
  return file;
}

std::string plot_endpoints(const ScratchFolder& scratch, const json& series, const std::string& x_range) {
  const std::size_t count = series.at("hosts").size();
  const std::string file = scratch.path + "/hosts.dat";
  std::string rows;
  std::string script;
  const auto& seconds = series.at("seconds");
  if (count <= kMaxEndpointLines) {
    for (std::size_t s = 0; s < seconds.size(); ++s) {
      const json& open = seconds[s].at("open");
      if (open.empty()) {
        continue;
      }
      rows += std::to_string(s);
      for (std::size_t h = 0; h < count; ++h) {
        rows += fmt::format(" {}", h < open.size() ? open[h].get<int>() : 0);
      }
      rows += "\n";
    }
    script = fault_areas(series, false) + "set ylabel 'connections'\nset yrange [0:*]\nplot ";
    for (std::size_t h = 0; h < count; ++h) {
      script += fmt::format("{}'{}' using 1:{} with lines lw 1.6 title '{}' noenhanced", h ? ", " : "", file,
                            h + 2, series["hosts"][h].get<std::string>());
    }
  } else {
    for (std::size_t s = 0; s < seconds.size(); ++s) {
      const json& open = seconds[s].at("open");
      for (std::size_t h = 0; h < open.size(); ++h) {
        rows += fmt::format("{} {} {}\n", s, h, open[h].get<int>());
      }
      if (!open.empty()) {
        rows += "\n";
      }
    }
    script = fmt::format(
        "set ylabel 'endpoint'\nset cblabel 'connections'\nunset grid\nset palette defined (0 '#ffffff', 1 "
        "'#2b6ca3')\n"
        "plot '{}' using 1:2:3 with image notitle",
        file);
  }
  write_file(file, rows);
  return plot(scratch, "hosts", x_range + script + "\n");
}

std::string percentile_cells(const json& latency) {
  return fmt::format("<td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>", latency.at("p50").dump(),
                     latency.at("p90").dump(), latency.at("p99").dump(), latency.at("p999").dump(),
                     latency.at("max").dump());
}

std::string page_head(const std::string& title) {
  return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escape_html(title) +
         "</title><style>body{font:15px/1.45 sans-serif;margin:24px auto;max-width:980px;padding:0 "
         "16px;color:#222}"
         "h1{font-size:22px;margin:0 0 4px}h2{font-size:16px;margin:26px 0 "
         "6px}table{border-collapse:collapse;margin:6px 0}"
         "td,th{padding:3px 12px 3px 0;text-align:left;border-bottom:1px solid "
         "#ddd}td{font-variant-numeric:tabular-nums}"
         ".tiles{display:flex;flex-wrap:wrap;gap:10px;margin:14px 0}.tile{border:1px solid "
         "#ddd;border-radius:6px;padding:8px 14px;min-width:104px}"
         ".tile "
         "b{display:block;font-size:20px}.bad{color:#b00020}.good{color:#1b7a3d}svg{max-width:100%;height:"
         "auto}"
         ".note{color:#666;font-size:13px}</style></head><body>\n";
}

std::string tile(const std::string& figure, const std::string& label, const char* css_class = "") {
  return "<div class=\"tile\"><b class=\"" + std::string(css_class) + "\">" + figure + "</b>" + label +
         "</div>";
}

std::string run_page(const std::string& folder) {
  const json report = read_json(folder + "/report.json");
  const json series = read_json(folder + "/series.json");
  const ScratchFolder scratch;
  const std::string file = write_plot_data(scratch, series);
  const std::string name = report.at("scenario");
  const std::string driver = report.at("driver");
  int violations = 0;
  for (const auto& [rule, count] : report.at("rules").items()) {
    violations += count.get<int>();
  }
  std::string out = page_head(name + ", " + driver);
  out += "<h1>" + escape_html(name) + "</h1><div class=\"note\">" + (driver == "sim" ? "simulated" : "live") +
         ", " + escape_html(report.at("policy")) + ", seed " + report.at("seed").dump() + ", plan " +
         escape_html(report.at("plan_hash")) + "</div>\n";
  if (report.contains("void") && !report["void"].get<std::string>().empty()) {
    out += "<p class=\"bad\"><b>Void:</b> " + escape_html(report["void"]) + "</p>";
  }
  out += "<div class=\"tiles\">" +
         tile(fmt::format("{:.2f}%", 100 * report.at("service").get<double>()), "service") +
         tile(fmt::format("{:.2f}%", 100 * report.at("worst_10s").get<double>()), "worst 10 s") +
         tile(report.at("asked").dump(), "requests") + tile(report.at("honoured").dump(), "succeeded") +
         tile(report.at("rejected").dump(), "rejected") + tile(report.at("scrapped").dump(), "failed") +
         tile(report.at("unanswered").dump(), "unanswered") + tile(report.at("moved").dump(), "migrated") +
         tile(std::to_string(violations), "rule violations", violations ? "bad" : "good") + "</div>\n";
  const std::string x_range = fmt::format("set xrange [0:{}]\n", series.at("seconds").size());
  const auto section = [&](const std::string& title, const std::string& svg) {
    out += "<h2>" + title + "</h2>" + svg + "\n";
  };
  section("Service per second in percent of the requested value; faults shaded",
          plot(scratch, "service",
               x_range + fault_areas(series, true) +
                   fmt::format("set ylabel 'percent'\nset yrange [0:105]\nplot '{}' using "
                               "1:2 with lines lw 2 lc rgb '#2b6ca3' title 'service'\n",
                               file)));
  section("Open connections per endpoint", plot_endpoints(scratch, series, x_range));
  section("Set-up time in milliseconds, from a client's request to its UP",
          plot(scratch, "setup",
               fault_areas(series, false) +
                   fmt::format("set logscale y\nset ylabel 'ms'\nplot '{0}' using 1:($8>0?$8:NaN) with lines "
                               "lw 2 lc rgb '#2b6ca3' title 'p50', '{0}' using 1:($9>0?$9:NaN) with lines lw "
                               "1.5 lc rgb '#c0392b' title 'p99'\n",
                               file)));
  section("Message delay in milliseconds on established connections",
          plot(scratch, "message",
               fault_areas(series, false) +
                   fmt::format("set logscale y\nset ylabel 'ms'\nplot '{0}' using 1:($10>0?$10:NaN) with "
                               "lines lw 2 lc rgb '#2b6ca3' title 'p50', '{0}' using 1:($11>0?$11:NaN) with "
                               "lines lw 1.5 lc rgb '#c0392b' title 'p99'\n",
                               file)));
  section(
      "Answers, migrations and cut connections per second",
      plot(scratch, "answers",
           fault_areas(series, false) +
               fmt::format(
                   "set ylabel 'per second'\nset style data histograms\nset style histogram rowstacked\nset "
                   "style fill solid 0.85 noborder\nset boxwidth 0.9\nset yrange [0:*]\n"
                   "plot '{0}' using 1:3 with boxes lc rgb '#2b6ca3' title 'succeeded', '{0}' using 1:4 with "
                   "lines lw 2 lc rgb '#e08e0b' title 'rejected', '{0}' using 1:5 with lines lw 2 lc rgb "
                   "'#b00020' title 'failed', "
                   "'{0}' using 1:6 with lines lw 2 lc rgb '#1b7a3d' title 'migrated', '{0}' using 1:7 with "
                   "lines lw 2 lc rgb '#7d3c98' title 'cut off'\n",
                   file)));
  out +=
      "<h2>Percentiles, "
      "ms</h2><table><tr><th></th><th>p50</th><th>p90</th><th>p99</th><th>p999</th><th>max</th></"
      "tr><tr><th>set-up</th>" +
      percentile_cells(report.at("setup_ms")) + "</tr><tr><th>message</th>" +
      percentile_cells(report.at("message_ms")) + "</tr></table>\n";
  out += "<h2>Rules, as counted by the auditor</h2><table><tr><th>rule</th><th>violations</th></tr>";
  for (const auto& [rule, count] : report.at("rules").items()) {
    out += "<tr><td>" + rule + "</td><td class=\"" + (count.get<int>() ? "bad" : "good") + "\">" +
           count.dump() + "</td></tr>";
  }
  out += "</table>\n";
  if (!report.at("cases").empty()) {
    out +=
        "<h2>The first violations</h2><table><tr><th>rule</th><th>id</th><th>time, "
        "ms</th><th>description</th></tr>";
    for (const json& finding : report.at("cases")) {
      out += "<tr><td>" + escape_html(finding.at("rule")) + "</td><td>" + escape_html(finding.at("id")) +
             "</td><td>" + finding.at("at_ms").dump() + "</td><td>" + escape_html(finding.at("what")) +
             "</td></tr>";
    }
    out += "</table>\n";
  }
  if (report.contains("nodes")) {
    out +=
        "<h2>Nodes</h2><table><tr><th>node</th><th>us per set-up</th><th>us per line</th><th>idle, of a "
        "core</th><th>CPU, s</th><th>KiB at most</th><th>descriptors at most</th></tr>";
    int number = 0;
    for (const json& node : report["nodes"]) {
      out += fmt::format(
          "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.2f}%</td><td>{}</td><td>{}</td><td>{}</td></tr>",
          number++, node.at("cpu_us_per_setup").dump(), node.at("cpu_us_per_line").dump(),
          100 * node.at("idle_cpu_share").get<double>(), node.at("cpu_s").dump(),
          node.at("rss_kib_max").dump(), node.at("descriptors_max").dump());
    }
    out +=
        "</table><div class=\"note\">Costs are estimated by least squares over samples of a quarter second; "
        "the rig was at most " +
        report.at("rig_late_ms").dump() + " ms late.</div>\n";
  }
  return out + "</body></html>\n";
}

std::string sweep_page(const std::string& folder) {
  const json summary = read_json(folder + "/summary.json");
  const ScratchFolder scratch;
  std::string rows;
  std::string names;
  std::string table;
  int index = 0;
  for (const json& row : summary.at("rows")) {
    std::string name;
    for (const auto& [key, value] : row.at("values").items()) {
      name += key + "=" + value.get<std::string>() + " ";
    }
    name += row.at("policy");
    const json& service = row.at("service");
    rows += fmt::format("{} {} {} {}\n", index, 100 * service.at("median").get<double>(),
                        100 * service.at("p10").get<double>(), 100 * service.at("p90").get<double>());
    names += fmt::format("{}'{}' {}", index ? ", " : "", name, index);
    ++index;
    table +=
        "<tr><td>" + escape_html(name) + "</td><td>" +
        fmt::format("{:.4f}", service.at("median").get<double>()) + "</td><td>" +
        fmt::format("{:.4f} to {:.4f}", service.at("p10").get<double>(), service.at("p90").get<double>()) +
        "</td><td>" + row.at("broken").dump() + "</td><td>" +
        (row.contains("paired")
             ? fmt::format("{:+.4f} ({:+.4f} to {:+.4f}) against {}", row["paired"]["mean"].get<double>(),
                           row["paired"]["low"].get<double>(), row["paired"]["high"].get<double>(),
                           escape_html(row["paired"]["against"]))
             : "") +
        "</td></tr>";
  }
  write_file(scratch.path + "/rows.dat", rows);
  return page_head(summary.at("scenario").get<std::string>() + ", sweep") + "<h1>" +
         escape_html(summary.at("scenario")) + "</h1><div class=\"note\">simulated, seeds " +
         summary.at("seeds")[0].dump() + " to " + summary.at("seeds")[1].dump() +
         "</div><h2>Service, median and 10th to 90th percentile of the seeds, percent</h2>" +
         plot(scratch, "sweep",
              fmt::format("unset key\nset xlabel ''\nset xtics ({}) rotate by -20 noenhanced\nset xrange "
                          "[-0.6:{}]\nset yrange [*:*]\nset ylabel 'percent'\nplot '{}' using 1:2:3:4 with "
                          "yerrorbars pt 7 ps 0.8 lw 2 lc rgb '#2b6ca3'\n",
                          names, index - 0.4, scratch.path + "/rows.dat")) +
         "<table><tr><th>values and policy</th><th>median</th><th>p10 to "
         "p90</th><th>violations</th><th>paired, 95%</th></tr>" +
         table + "</table></body></html>\n";
}

}  // namespace

void write_page(const std::string& folder, const std::string& html) {
  const bool sweep = std::filesystem::exists(folder + "/summary.json");
  write_file(html, sweep ? sweep_page(folder) : run_page(folder));
}

}  // namespace dapplewharf::emulator
