package dunlinladder.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that forgets what was used longest ago once it holds more than its bound. */
final class LruMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1;
    private final int most;

    LruMap(int most) {
        super(16, 0.75f, true);
        this.most = most;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > most;
    }
}
