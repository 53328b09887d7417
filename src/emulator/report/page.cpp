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

constexpr std::size_t kLines = 16;  // hosts drawn one by one; more are drawn as a map of colours

json json_of(const std::string& path) {
  std::ifstream in(path);
  const json out = json::parse(in, nullptr, false);
  if (!in.is_open() || out.is_discarded()) {
    throw InvalidInput(path + ":0:0: is missing or no JSON; expected what a run wrote with --out");
  }
  return out;
}

std::string escaped(const std::string& text) {
  std::string out;
  for (const char letter : text) {
    out += letter == '<' ? "&lt;" : letter == '&' ? "&amp;" : letter == '>' ? "&gt;" : std::string(1, letter);
  }
  return out;
}

struct Scratch {
  std::string path =
      (std::filesystem::temp_directory_path() / fmt::format("dapplewharf-page-{}", getpid())).string();
  Scratch() { std::filesystem::create_directories(path); }
  ~Scratch() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
};

std::string plot(const Scratch& scratch, const std::string& name, const std::string& script) {
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
                             "': " + (line.empty() ? "no plot came out" : line));
  }
  const std::string all = text.str();
  return all.substr(all.find("<svg"));
}

// Faults as shades behind a plot, with their names above, those that overlap in rows of their own.
std::string shades(const json& series, bool named) {
  std::string out;
  std::vector<double> rows;
  int number = 0;
  for (const json& one : series.at("troubles")) {
    const double from = one.at("from_s");
    const double to = one.at("to_s");
    out += fmt::format(
        "set object {} rect from {},graph 0 to {},graph 1 behind fs solid 0.25 noborder fc rgb '#f2a154'\n",
        ++number, from, to);
    if (!named) {
      continue;
    }
    std::size_t row = 0;
    while (row < rows.size() && rows[row] > from) {
      ++row;
    }
    if (row == rows.size()) {
      rows.push_back(0);
    }
    rows[row] = std::max(to, from + 6);
    out += fmt::format("set label {} '{}' at {},graph {} font ',9' tc rgb '#8a4b08' noenhanced\n", number,
                       one.at("name").get<std::string>(), from + 0.1, 0.94 - 0.07 * static_cast<double>(row));
  }
  return out;
}

std::string data(const Scratch& scratch, const json& series) {
  std::string rows;
  int at = 0;
  for (const json& one : series.at("seconds")) {
    const double wanted = one.at("wanted");
    const double served = one.at("served");
    rows += fmt::format("{} {} {} {} {} {} {} {} {} {} {} {}\n", at++ + 0.5,
                        wanted > 0 ? fmt::format("{}", 100 * std::min(1.0, served / wanted)) : "NaN",
                        one.at("honoured").get<int>(), one.at("rejected").get<int>(),
                        one.at("scrapped").get<int>(), one.at("moved").get<int>(), one.at("cut").get<int>(),
                        one.at("setup_p50").get<double>(), one.at("setup_p99").get<double>(),
                        one.at("message_p50").get<double>(), one.at("message_p99").get<double>(),
                        one.at("standing").get<double>());
  }
  const std::string file = scratch.path + "/run.dat";
  write_file(file, rows);
  return file;
}

std::string hosts_plot(const Scratch& scratch, const json& series, const std::string& span) {
  const std::size_t count = series.at("hosts").size();
  const std::string file = scratch.path + "/hosts.dat";
  std::string rows;
  std::string script;
  const auto& seconds = series.at("seconds");
  if (count <= kLines) {
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
    script = shades(series, false) + "set ylabel 'connections'\nset yrange [0:*]\nplot ";
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
        "set ylabel 'host'\nset cblabel 'connections'\nunset grid\nset palette defined (0 '#ffffff', 1 "
        "'#2b6ca3')\n"
        "plot '{}' using 1:2:3 with image notitle",
        file);
  }
  write_file(file, rows);
  return plot(scratch, "hosts", span + script + "\n");
}

std::string percentiles(const json& of) {
  return fmt::format("<td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>", of.at("p50").dump(),
                     of.at("p90").dump(), of.at("p99").dump(), of.at("p999").dump(), of.at("max").dump());
}

std::string head(const std::string& title) {
  return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escaped(title) +
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

std::string tile(const std::string& figure, const std::string& what, const char* look = "") {
  return "<div class=\"tile\"><b class=\"" + std::string(look) + "\">" + figure + "</b>" + what + "</div>";
}

std::string run_page(const std::string& folder) {
  const json report = json_of(folder + "/report.json");
  const json series = json_of(folder + "/series.json");
  const Scratch scratch;
  const std::string file = data(scratch, series);
  const std::string name = report.at("scenario");
  const std::string driver = report.at("driver");
  int broken = 0;
  for (const auto& [rule, count] : report.at("rules").items()) {
    broken += count.get<int>();
  }
  std::string out = head(name + ", " + driver);
  out += "<h1>" + escaped(name) + "</h1><div class=\"note\">" +
         (driver == "sim" ? "simulated" : "from sockets") + ", " + escaped(report.at("policy")) + ", seed " +
         report.at("seed").dump() + ", plan " + escaped(report.at("plan_hash")) + "</div>\n";
  if (report.contains("void") && !report["void"].get<std::string>().empty()) {
    out += "<p class=\"bad\"><b>Void:</b> " + escaped(report["void"]) + "</p>";
  }
  out += "<div class=\"tiles\">" +
         tile(fmt::format("{:.2f}%", 100 * report.at("service").get<double>()), "service") +
         tile(fmt::format("{:.2f}%", 100 * report.at("worst_10s").get<double>()), "worst 10 s") +
         tile(report.at("asked").dump(), "asked") + tile(report.at("honoured").dump(), "honoured") +
         tile(report.at("rejected").dump(), "rejected") + tile(report.at("scrapped").dump(), "scrapped") +
         tile(report.at("unanswered").dump(), "unanswered") + tile(report.at("moved").dump(), "moved") +
         tile(std::to_string(broken), "breaches of rules", broken ? "bad" : "good") + "</div>\n";
  const std::string span = fmt::format("set xrange [0:{}]\n", series.at("seconds").size());
  const auto section = [&](const std::string& title, const std::string& svg) {
    out += "<h2>" + title + "</h2>" + svg + "\n";
  };
  section("Service, each second, in percent of the value asked for; troubles shaded",
          plot(scratch, "service",
               span + shades(series, true) +
                   fmt::format("set ylabel 'percent'\nset yrange [0:105]\nplot '{}' using "
                               "1:2 with lines lw 2 lc rgb '#2b6ca3' title 'service'\n",
                               file)));
  section("Open connections of each host", hosts_plot(scratch, series, span));
  section("Set-up, milliseconds, from a client's line to its UP",
          plot(scratch, "setup",
               shades(series, false) +
                   fmt::format("set logscale y\nset ylabel 'ms'\nplot '{0}' using 1:($8>0?$8:NaN) with lines "
                               "lw 2 lc rgb '#2b6ca3' title 'p50', '{0}' using 1:($9>0?$9:NaN) with lines lw "
                               "1.5 lc rgb '#c0392b' title 'p99'\n",
                               file)));
  section("Message delay, milliseconds, on standing connections",
          plot(scratch, "message",
               shades(series, false) +
                   fmt::format("set logscale y\nset ylabel 'ms'\nplot '{0}' using 1:($10>0?$10:NaN) with "
                               "lines lw 2 lc rgb '#2b6ca3' title 'p50', '{0}' using 1:($11>0?$11:NaN) with "
                               "lines lw 1.5 lc rgb '#c0392b' title 'p99'\n",
                               file)));
  section(
      "Answers, moves and cuts, each second",
      plot(scratch, "answers",
           shades(series, false) +
               fmt::format(
                   "set ylabel 'a second'\nset style data histograms\nset style histogram rowstacked\nset "
                   "style fill solid 0.85 noborder\nset boxwidth 0.9\nset yrange [0:*]\n"
                   "plot '{0}' using 1:3 with boxes lc rgb '#2b6ca3' title 'honoured', '{0}' using 1:4 with "
                   "lines lw 2 lc rgb '#e08e0b' title 'rejected', '{0}' using 1:5 with lines lw 2 lc rgb "
                   "'#b00020' title 'scrapped', "
                   "'{0}' using 1:6 with lines lw 2 lc rgb '#1b7a3d' title 'moved', '{0}' using 1:7 with "
                   "lines lw 2 lc rgb '#7d3c98' title 'cut off'\n",
                   file)));
  out +=
      "<h2>Percentiles, "
      "ms</h2><table><tr><th></th><th>p50</th><th>p90</th><th>p99</th><th>p999</th><th>max</th></"
      "tr><tr><th>set-up</th>" +
      percentiles(report.at("setup_ms")) + "</tr><tr><th>message</th>" +
      percentiles(report.at("message_ms")) + "</tr></table>\n";
  out += "<h2>Rules, as the auditor counted them</h2><table><tr><th>rule</th><th>breaches</th></tr>";
  for (const auto& [rule, count] : report.at("rules").items()) {
    out += "<tr><td>" + rule + "</td><td class=\"" + (count.get<int>() ? "bad" : "good") + "\">" +
           count.dump() + "</td></tr>";
  }
  out += "</table>\n";
  if (!report.at("cases").empty()) {
    out += "<h2>The first breaches</h2><table><tr><th>rule</th><th>id</th><th>at, ms</th><th>what</th></tr>";
    for (const json& one : report.at("cases")) {
      out += "<tr><td>" + escaped(one.at("rule")) + "</td><td>" + escaped(one.at("id")) + "</td><td>" +
             one.at("at_ms").dump() + "</td><td>" + escaped(one.at("what")) + "</td></tr>";
    }
    out += "</table>\n";
  }
  if (report.contains("nodes")) {
    out +=
        "<h2>Nodes</h2><table><tr><th>node</th><th>us a set-up</th><th>us a line</th><th>idle, of a "
        "core</th><th>CPU, s</th><th>KiB at most</th><th>descriptors at most</th></tr>";
    int number = 0;
    for (const json& one : report["nodes"]) {
      out += fmt::format(
          "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.2f}%</td><td>{}</td><td>{}</td><td>{}</td></tr>",
          number++, one.at("cpu_us_per_setup").dump(), one.at("cpu_us_per_line").dump(),
          100 * one.at("idle_cpu_share").get<double>(), one.at("cpu_s").dump(), one.at("rss_kib_max").dump(),
          one.at("descriptors_max").dump());
    }
    out += "</table><div class=\"note\">Costs are least squares over quarter seconds; the rig was late by " +
           report.at("rig_late_ms").dump() + " ms at the worst.</div>\n";
  }
  return out + "</body></html>\n";
}

std::string sweep_page(const std::string& folder) {
  const json summary = json_of(folder + "/summary.json");
  const Scratch scratch;
  std::string rows;
  std::string names;
  std::string table;
  int at = 0;
  for (const json& row : summary.at("rows")) {
    std::string name;
    for (const auto& [key, value] : row.at("values").items()) {
      name += key + "=" + value.get<std::string>() + " ";
    }
    name += row.at("policy");
    const json& service = row.at("service");
    rows += fmt::format("{} {} {} {}\n", at, 100 * service.at("median").get<double>(),
                        100 * service.at("p10").get<double>(), 100 * service.at("p90").get<double>());
    names += fmt::format("{}'{}' {}", at ? ", " : "", name, at);
    ++at;
    table +=
        "<tr><td>" + escaped(name) + "</td><td>" + fmt::format("{:.4f}", service.at("median").get<double>()) +
        "</td><td>" +
        fmt::format("{:.4f} to {:.4f}", service.at("p10").get<double>(), service.at("p90").get<double>()) +
        "</td><td>" + row.at("broken").dump() + "</td><td>" +
        (row.contains("paired")
             ? fmt::format("{:+.4f} ({:+.4f} to {:+.4f}) against {}", row["paired"]["mean"].get<double>(),
                           row["paired"]["low"].get<double>(), row["paired"]["high"].get<double>(),
                           escaped(row["paired"]["against"]))
             : "") +
        "</td></tr>";
  }
  write_file(scratch.path + "/rows.dat", rows);
  return head(summary.at("scenario").get<std::string>() + ", sweep") + "<h1>" +
         escaped(summary.at("scenario")) + "</h1><div class=\"note\">simulated, seeds " +
         summary.at("seeds")[0].dump() + " to " + summary.at("seeds")[1].dump() +
         "</div><h2>Service, median and the middle eight tenths of the seeds, percent</h2>" +
         plot(scratch, "sweep",
              fmt::format("unset key\nset xlabel ''\nset xtics ({}) rotate by -20 noenhanced\nset xrange "
                          "[-0.6:{}]\nset yrange [*:*]\nset ylabel 'percent'\nplot '{}' using 1:2:3:4 with "
                          "yerrorbars pt 7 ps 0.8 lw 2 lc rgb '#2b6ca3'\n",
                          names, at - 0.4, scratch.path + "/rows.dat")) +
         "<table><tr><th>values and policy</th><th>median</th><th>p10 to "
         "p90</th><th>breaches</th><th>paired, 95%</th></tr>" +
         table + "</table></body></html>\n";
}

}  // namespace

void write_page(const std::string& folder, const std::string& html) {
  const bool sweep = std::filesystem::exists(folder + "/summary.json");
  write_file(html, sweep ? sweep_page(folder) : run_page(folder));
}

}  // namespace dapplewharf::emulator
