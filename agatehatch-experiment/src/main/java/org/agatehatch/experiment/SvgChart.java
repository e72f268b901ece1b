package org.agatehatch.experiment;

import java.util.List;
import java.util.Locale;

/** Draws a line chart with a legend as SVG. */
record SvgChart(String title, String xLabel, String yLabel, List<Line> lines) {
    private static final int WIDTH = 760;
    private static final int HEIGHT = 420;
    private static final int LEFT = 70;
    private static final int RIGHT = 200;
    private static final int TOP = 40;
    private static final int BOTTOM = 50;
    private static final int Y_STEPS = 5;
    private static final List<String> COLOURS = List.of("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#999999");

    /** A named line. */
    record Line(String name, List<Point> points) {}

    /** A point with the spread of its y value. */
    record Point(double x, double y, double spread) {}

    String write() {
        double xMin = points().mapToDouble(Point::x).min().orElse(0);
        double xMax = points().mapToDouble(Point::x).max().orElse(1);
        double xSpan = xMax > xMin ? xMax - xMin : 1;
        double yMax = Math.max(
                1e-9, points().mapToDouble(p -> p.y() + p.spread()).max().orElse(1));
        StringBuilder svg = new StringBuilder();
        svg.append(format(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
                WIDTH, HEIGHT));
        svg.append(text(WIDTH / 2.0, TOP / 2.0, "middle", title));
        svg.append(text((LEFT + WIDTH - RIGHT) / 2.0, HEIGHT - 12, "middle", xLabel));
        svg.append(text(LEFT, TOP - 6, "middle", yLabel));
        for (int i = 0; i <= Y_STEPS; i++) {
            double value = yMax * i / Y_STEPS;
            double y = y(value, yMax);
            svg.append(line(LEFT, y, WIDTH - RIGHT, y, "#dddddd"));
            svg.append(text(LEFT - 6, y + 4, "end", format("%.1f", value)));
        }
        points().mapToDouble(Point::x)
                .distinct()
                .sorted()
                .forEach(x -> svg.append(text(x(x, xMin, xSpan), HEIGHT - BOTTOM + 18, "middle", format("%.2f", x))));
        for (int i = 0; i < lines.size(); i++) {
            svg.append(draw(lines.get(i), i, xMin, xSpan, yMax));
        }
        return svg.append("</svg>\n").toString();
    }

    private String draw(Line line, int index, double xMin, double xSpan, double yMax) {
        String colour = COLOURS.get(index % COLOURS.size());
        StringBuilder path = new StringBuilder();
        StringBuilder marks = new StringBuilder();
        for (Point point : line.points()) {
            double x = x(point.x(), xMin, xSpan);
            double y = y(point.y(), yMax);
            path.append(format("%.1f,%.1f ", x, y));
            marks.append(format("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"%s\"/>\n", x, y, colour));
            marks.append(line(x, y(point.y() - point.spread(), yMax), x, y(point.y() + point.spread(), yMax), colour));
        }
        double legendY = TOP + 20.0 * index + 10;
        return format("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>\n", path, colour)
                + marks
                + line(WIDTH - RIGHT + 20, legendY - 4, WIDTH - RIGHT + 45, legendY - 4, colour)
                + text(WIDTH - RIGHT + 52, legendY, "start", line.name());
    }

    private java.util.stream.Stream<Point> points() {
        return lines.stream().flatMap(line -> line.points().stream());
    }

    private static double x(double value, double min, double span) {
        return LEFT + 20 + (value - min) / span * (WIDTH - LEFT - RIGHT - 40);
    }

    private static double y(double value, double max) {
        return HEIGHT - BOTTOM - Math.max(0, value) / max * (HEIGHT - TOP - BOTTOM);
    }

    private static String line(double x1, double y1, double x2, double y2, String colour) {
        return format(
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>\n", x1, y1, x2, y2, colour);
    }

    private static String text(double x, double y, String anchor, String content) {
        String escaped = content.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
        return format("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, escaped);
    }

    private static String format(String pattern, Object... arguments) {
        return String.format(Locale.ROOT, pattern, arguments);
    }
}
