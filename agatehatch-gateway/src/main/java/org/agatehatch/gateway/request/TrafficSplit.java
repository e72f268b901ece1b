package org.agatehatch.gateway.request;

import java.util.List;
import java.util.random.RandomGenerator;
import org.agatehatch.api.fleet.WeightedService;

/** Splits the requests of a route among its services by weight. */
final class TrafficSplit {
    private TrafficSplit() {}

    static String pick(List<WeightedService> services, RandomGenerator random) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double point = random.nextDouble() * total;
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
