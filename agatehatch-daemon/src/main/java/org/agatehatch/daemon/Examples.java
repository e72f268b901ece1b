package org.agatehatch.daemon;

/** Example commands for a node that serves the sample catalogue. */
final class Examples {
    private Examples() {}

    static String text(String url) {
        return """
                Try:
                  curl -s %1$s/v1/models
                  curl -sN %1$s/v1/chat/completions -H 'Content-Type: application/json' \\
                    -d '{"model":"counter-8b","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"Which grit for a blunt claw chisel?"}]}'
                  curl -s %1$s/services/orders/orders -X POST -H 'Idempotency-Key: "order-1"' -d '{"chisels":3}'
                  bin/agatehatch --node %1$s status
                  bin/agatehatch --node %1$s catalogue get > catalogue.yaml   # edit it, then:
                  bin/agatehatch --node %1$s catalogue apply catalogue.yaml --wait""".formatted(url);
    }
}
