package org.agatehatch.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.agatehatch.standins.Platform;
import org.agatehatch.standins.PlatformAddresses;
import org.agatehatch.standins.PlatformSettings;
import org.apache.pekko.actor.ActorSystem;

/** Runs stand-ins of the platform inside the node's process and provides a sample catalogue for them. */
final class EmbeddedPlatform {
    private static final int ENGINE_COUNT = 2;
    private static final double TIME_SCALE = 4;
    private static final String SAMPLE_RESOURCE = "/sample-catalogue.yaml";

    private final Platform platform;

    private EmbeddedPlatform(Platform platform) {
        this.platform = platform;
    }

    static EmbeddedPlatform start(ActorSystem system) {
        PlatformSettings settings =
                PlatformSettings.standard(ENGINE_COUNT, TIME_SCALE).withService("order-desk", 2);
        return new EmbeddedPlatform(Platform.start(system, settings));
    }

    URI log() {
        return URI.create(platform.addresses().log());
    }

    URI vmList() {
        return URI.create(platform.addresses().vmList());
    }

    /** Returns the sample catalogue with its placeholders replaced by the addresses of the stand-ins. */
    String sampleCatalogue() {
        String yaml = readSample();
        for (PlatformAddresses.Server server : platform.addresses().engines()) {
            yaml = yaml.replace("${" + server.name() + "}", server.address());
        }
        for (PlatformAddresses.Server server : platform.addresses().services()) {
            yaml = yaml.replace("${" + server.name() + "}", server.address());
        }
        return yaml;
    }

    void close() {
        platform.close();
    }

    private static String readSample() {
        try (InputStream input = EmbeddedPlatform.class.getResourceAsStream(SAMPLE_RESOURCE)) {
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the sample catalogue from the class path", e);
        }
    }
}
