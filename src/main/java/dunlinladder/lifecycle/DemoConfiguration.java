package dunlinladder.lifecycle;

/** A small deployment for the program's own stub engines: the JVM warm-up, the demonstration and tests. */
public final class DemoConfiguration {

    /** The only tenant. */
    public static final String TENANT = "tenant-a";
    /** A class of requests that may run any number of times. */
    public static final String REPEATABLE_CLASS = "repeatable";
    /** A class of requests that must not run twice. */
    public static final String ONCE_CLASS = "once";
    /** The kind of the prefill engines. */
    public static final String PREFILL_KIND = "reader";
    /** The kind of the decode engines. */
    public static final String DECODE_KIND = "writer";

    /**
     * The settings of a configuration as JSON: one zone, kinds for prefill, decode and mixed engines, a class of
     * requests that may be repeated, and a class of requests that must not be repeated.
     */
    public static final String SETTINGS = """
            {"balancers":1,"caps":{"connect-timeout":5,"keepalive":30.0,"max-attempts":4},"classes":[
            {"name":"repeatable","deadline":4.0,"objective":0.8,"semantics":"safe","stream":true,"worth":1.0},
            {"name":"once","deadline":10.0,"objective":2.0,"semantics":"unsafe","stream":true,
            "worth":3.0}],"family-info":{"aim-us-per-1000-prompt-tokens":[60000.0,40000.0],
            "kv-tokens":[180000,150000,240000],
            "release-within":0.5,"role-by-kind":["read","write","both"],"token-aim":[0.05,0.07]},
            "kinds":["reader","writer","mixed"],"membership-mode":"pushed","zone":0,"zones":["hall"],
            "projects":[{"name":"tenant-a","fraction":1.0,"quota-per-s":1000.0}],
            "rules":{"answer-slack":0.008,"cold":14.0,"cold-from":0.26,"fall-multiple":4.0,
            "stop-sending-within":1.0,"tip-after":1.5}}""";

    private DemoConfiguration() {}

    /**
     * Returns an engine's entry in discovery's list, as JSON.
     *
     * @param address host and port
     * @param kind {@link #PREFILL_KIND}, {@link #DECODE_KIND} or {@code mixed}
     */
    public static String engineEntry(String name, String address, String kind) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address
                + "\",\"site\":\"hall\",\"class\":\"" + kind
                + "\",\"block\":1,\"health\":\"active\",\"share\":1.0,\"born_ms\":0}";
    }

    /**
     * Returns discovery's list of all engines, as one line of JSON.
     *
     * @param entries entries from {@link #engineEntry}
     */
    public static String engineList(Iterable<String> entries) {
        return "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", entries) + "]}\n";
    }
}
